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

/** One linked peer and what it told last. */
final class Peer {
    private final NodeHello hello;
    private DigestScope scope;
    private DigestScope countedScope;
    private long digestMillis;
    private int processes;
    private int members;
    private List<ServiceDemand> demands = List.of();
    private List<EngineEvidence> evidence = List.of();
    private long usageSent;
    private boolean storeReachable;
    private long policyVersion;
    private long directoryRevision;
    private long storeEpoch;
    private boolean revisionDecreased;

    Peer(NodeHello hello, long nowMillis) {
        this.hello = hello;
        this.digestMillis = nowMillis;
    }

    /** Returns a known peer if it is the same life of it, else one that has told nothing yet. */
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

    /** Returns the name of this life of the peer. */
    String incarnationName() {
        return hello.name() + '/' + hello.incarnation();
    }

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
        policyVersion = digest.policyVersion();
        revisionDecreased = storeEpoch == 0 && digest.directoryRevision() < directoryRevision;
        directoryRevision = digest.directoryRevision();
    }

    /**
     * Tells whether the revision of a peer that names no epoch was lower in its last digest than
     * before: the store's history was replaced, and the peer has read the new one.
     */
    boolean revisionDecreased() {
        return revisionDecreased;
    }

    /** Records of which epoch of the store the peer's revisions are; not each digest tells it. */
    void storeEpoch(long named) {
        if (named != 0) {
            storeEpoch = named;
        }
    }

    /** Records that the peer told something that is no digest of its own. */
    void messageReceived(long nowMillis) {
        digestMillis = nowMillis;
    }

    /**
     * Records that the figures of its last digest count.
     *
     * @return true if those of the digest before did not, or were of other processes
     */
    boolean startCounting() {
        boolean anew = countedScope != scope;
        countedScope = scope;
        return anew;
    }

    /** Records that the figures of its last digest do not count. */
    void stopCounting() {
        countedScope = null;
    }

    /** Tells whether the peer relies on this process as its hub. */
    boolean isLeaf() {
        return scope == DigestScope.OWN;
    }

    /** Tells whether the peer has told anything yet. */
    boolean hasReported() {
        return scope != null;
    }

    long digestMillis() {
        return digestMillis;
    }

    /** Returns how many processes the peer spoke for. */
    int processes() {
        return processes;
    }

    /** Returns how many processes the peer has read in the store. */
    Reading members() {
        return new Reading(members, storeReachable);
    }

    /** Tells whether the platform's store answers the peer. */
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

    /** Returns the epoch that the peer's revisions are of; 0 if it names none. */
    long storeEpoch() {
        return storeEpoch;
    }

    List<ServiceDemand> demands() {
        return demands;
    }

    /** Returns what the peer saw of the speed of upstreams, as it last told. */
    List<EngineEvidence> evidence() {
        return evidence;
    }

    /** Returns the latest change of usage that the peer was told of. */
    long usageSent() {
        return usageSent;
    }

    void usageSent(long sequence) {
        usageSent = sequence;
    }
}
