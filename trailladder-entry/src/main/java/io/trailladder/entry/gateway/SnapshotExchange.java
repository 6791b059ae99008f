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

import io.trailladder.core.RecentMap;
import io.trailladder.entry.mesh.Mesh;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.Snapshot;
import io.trailladder.wire.NodeMessage.SnapshotRequest;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Requests the policy and the list of upstreams from peers that have newer ones, and answers such
 * requests.
 */
final class SnapshotExchange {
    /** Minimum time between two requests because of a digest, in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLIS = 300;

    /**
     * How long a peer's list may be newer before it is requested although the store answers, in
     * milliseconds: three digests. By then the store has delivered the change to this process too,
     * unless its watch receives nothing.
     */
    private static final long MAX_LAG_MILLIS = 600;

    /** Maximum number of peers whose requests are tracked: those of the largest hub. */
    private static final int MAX_TRACKED_PEERS = 1_000;

    private static final byte[] NO_BYTES = {};

    private final LongSupplier nowMillis;
    private final PolicyManager policies;
    private final DirectoryManager directory;
    private final StoreHealth store;
    private final GatewayMetrics metrics;
    private final Map<String, Long> requestedAfterRevision = new RecentMap<>(MAX_TRACKED_PEERS);
    private final Map<String, Long> newerSinceMillis = new RecentMap<>(MAX_TRACKED_PEERS);
    private Runnable onMissed = () -> {};
    private long requestedMillis;

    SnapshotExchange(
            LongSupplier nowMillis,
            PolicyManager policies,
            DirectoryManager directory,
            StoreHealth store,
            GatewayMetrics metrics) {
        this.nowMillis = nowMillis;
        this.policies = policies;
        this.directory = directory;
        this.store = store;
        this.metrics = metrics;
    }

    /** Sets the task that runs when a peer supplied a change that the store has not delivered. */
    void onMissed(Runnable task) {
        onMissed = task;
    }

    /**
     * Requests a snapshot from a peer that has just been linked if the store does not answer, or no
     * policy is known yet.
     */
    void linked(Mesh mesh, NodeHello peer) {
        if (!store.isReachable() || policies.version() == 0) {
            request(mesh, peer);
        }
    }

    /** Requests a snapshot from a peer whose digest names a newer policy or list. */
    void digest(Mesh mesh, Peer from, NodeDigest digest) {
        NodeHello peer = from.hello();
        long now = nowMillis.getAsLong();
        boolean newerPolicy = digest.policyVersion() > policies.version();
        boolean newerList =
                isNewer(from, digest)
                        && (!store.isReachable()
                                || mesh.receivesUpdatesFrom(peer)
                                || isMissed(peer, now));
        if ((newerPolicy || newerList) && now - requestedMillis >= REQUEST_INTERVAL_MILLIS) {
            requestedMillis = now;
            request(mesh, peer);
        }
    }

    private boolean isNewer(Peer from, NodeDigest digest) {
        boolean newer =
                store.history().mayMatch(from.storeEpoch())
                        && digest.directoryRevision() > directory.revision();
        if (!newer) {
            newerSinceMillis.remove(from.name());
        }
        return newer;
    }

    private boolean isMissed(NodeHello peer, long nowMillis) {
        Long since = newerSinceMillis.putIfAbsent(peer.name(), nowMillis);
        return since != null && nowMillis - since >= MAX_LAG_MILLIS;
    }

    /**
     * Answers a peer with what is newer at this process; any list counts as newer than one of
     * another history.
     */
    void requestReceived(Mesh mesh, Peer peer, SnapshotRequest request) {
        boolean newerPolicy = policies.version() > request.policyVersion();
        boolean sameHistory = store.history().mayMatch(peer.storeEpoch());
        long peerRevision = sameHistory ? request.directoryRevision() : 0;
        boolean newerList = directory.revision() > peerRevision;
        Snapshot snapshot =
                new Snapshot(
                        policies.version(),
                        newerPolicy ? policies.bytes() : NO_BYTES,
                        directory.revision(),
                        newerList ? directory.entries() : List.of());
        mesh.send(peer.name(), snapshot);
    }

    /** Applies what is newer in a peer's answer; its list only if it is of the current history. */
    void snapshotReceived(Mesh mesh, Peer from, Snapshot snapshot) {
        NodeHello peer = from.hello();
        if (snapshot.policyVersion() > policies.version()
                && policies.offer(snapshot.policy(), peer.name())) {
            metrics.count(GatewayMetrics.Event.POLICY_FROM_PEER);
        }
        boolean missed = newerSinceMillis.remove(peer.name()) != null;
        boolean fed =
                !store.isReachable() || directory.revision() == 0 || mesh.receivesUpdatesFrom(peer);
        boolean wanted = (fed || missed) && hasList(peer, snapshot);
        if (wanted && store.history().mayMatch(from.storeEpoch())) {
            boolean changed =
                    directory.applyFromPeer(
                            snapshot.upstreams(), snapshot.directoryRevision(), peer.name());
            if (changed && missed && !fed) {
                onMissed.run();
            }
        }
    }

    /**
     * Returns whether a snapshot contains a list. A peer whose list is not newer than the revision
     * in the request sends an empty one.
     */
    private boolean hasList(NodeHello peer, Snapshot snapshot) {
        Long after = requestedAfterRevision.remove(peer.name());
        boolean isNewer = after != null && after < snapshot.directoryRevision();
        return isNewer || !snapshot.upstreams().isEmpty();
    }

    /**
     * Returns whether the policy and list of this process are at least as new as those of a peer.
     */
    boolean isAsRecentAs(Peer peer) {
        return policies.version() >= peer.policyVersion()
                && directory.revision() >= peer.directoryRevision();
    }

    private void request(Mesh mesh, NodeHello peer) {
        requestedAfterRevision.put(peer.name(), directory.revision());
        mesh.send(peer.name(), new SnapshotRequest(policies.version(), directory.revision()));
    }
}
