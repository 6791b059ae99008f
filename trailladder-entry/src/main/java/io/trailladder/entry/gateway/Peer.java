/*
 * Copyright 2026 The trailladder authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *     http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package io.trailladder.entry.gateway;

import io.trailladder.core.engine.EngineEvidence;
import io.trailladder.core.membership.MemberCount.Reading;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** A linked peer and the contents of its last digest. */
final class Peer {
    private final NodeHello hello;
    private final long linkedMillis;
    private DigestScope scope;
    private long digestMillis;
    private int processes;
    private int members;
    private List<ServiceDemand> demands = List.of();
    private List<EngineEvidence> evidence = List.of();
    private long usageSent;
    private boolean storeReachable;
    private boolean draining;
    private long policyVersion;
    private long directoryRevision;
    private long storeEpoch;
    private boolean revisionDecreased;

    Peer(NodeHello hello, long nowMillis) {
        this.hello = hello;
        this.digestMillis = nowMillis;
        this.linkedMillis = nowMillis;
    }

    /** Returns how long the peer was linked until it last sent something, in milliseconds. */
    long linkedForMillis() {
        return digestMillis - linkedMillis;
    }

    /**
     * Returns a known peer if it is of the same incarnation, otherwise one that has sent nothing
     * yet.
     */
    static Peer ofIncarnation(Peer known, NodeHello hello, long nowMillis) {
        boolean same = known != null && known.hello.incarnation().equals(hello.incarnation());
        return same ? known : new Peer(hello, nowMillis);
    }

    /** Returns the names of some peers. */
    static List<String> names(Collection<Peer> peers) {
        List<String> names = new ArrayList<>(peers.size());
        for (Peer peer : peers) {
            names.add(peer.name());
        }
        return names;
    }

    NodeHello hello() {
        return hello;
    }

    String name() {
        return hello.name();
    }

    /** Applies a digest of the peer. */
    void received(NodeDigest digest, long nowMillis) {
        scope = digest.scope();
        digestMillis = nowMillis;
        processes = digest.processes();
        members = digest.members();
        demands = digest.demands();
        if (!digest.evidence().isEmpty()) {
            evidence = digest.evidence();
        }
        storeReachable = digest.storeReachable();
        draining = digest.draining();
        policyVersion = digest.policyVersion();
        revisionDecreased = storeEpoch == 0 && digest.directoryRevision() < directoryRevision;
        directoryRevision = digest.directoryRevision();
    }

    /** Returns whether the peer has announced that it stops. */
    boolean isDraining() {
        return draining;
    }

    /**
     * Returns whether the revision of a peer that names no epoch was lower in its last digest than
     * before: the store's history was replaced, and the peer has read the new one.
     */
    boolean revisionDecreased() {
        return revisionDecreased;
    }

    /** Records the store epoch of the peer's revisions; not every digest contains it. */
    void storeEpoch(long named) {
        if (named != 0) {
            storeEpoch = named;
        }
    }

    /** Records that the peer sent a message other than a digest of its own. */
    void messageReceived(long nowMillis) {
        digestMillis = nowMillis;
    }

    /** Returns whether the peer relies on this process as its hub. */
    boolean isLeaf() {
        return scope == DigestScope.OWN;
    }

    /** Returns whether the peer has sent a digest yet. */
    boolean hasReported() {
        return scope != null;
    }

    long digestMillis() {
        return digestMillis;
    }

    /** Returns the number of processes that the peer's last digest covers. */
    int processes() {
        return processes;
    }

    /** Returns the number of processes that the peer has read in the store. */
    Reading members() {
        return new Reading(members, storeReachable);
    }

    /** Returns whether the platform's store answers the peer. */
    boolean isStoreReachable() {
        return storeReachable;
    }

    /** Returns the version of the policy in force at the peer. */
    long policyVersion() {
        return policyVersion;
    }

    /** Returns the revision of the peer's list of upstreams. */
    long directoryRevision() {
        return directoryRevision;
    }

    /** Returns the epoch of the peer's revisions; 0 if it names none. */
    long storeEpoch() {
        return storeEpoch;
    }

    List<ServiceDemand> demands() {
        return demands;
    }

    /** Returns the peer's last reported observations of the speed of upstreams. */
    List<EngineEvidence> evidence() {
        return evidence;
    }

    /** Returns the sequence number of the latest change of usage that was sent to the peer. */
    long usageSent() {
        return usageSent;
    }

    void usageSent(long sequence) {
        usageSent = sequence;
    }
}
