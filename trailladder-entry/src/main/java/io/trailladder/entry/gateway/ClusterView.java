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

import io.trailladder.core.duty.UsageLedger;
import io.trailladder.core.worker.DemandMeter;
import io.trailladder.core.worker.ServiceDemand;
import io.trailladder.core.worker.WorkerLoads;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.mesh.MeshListener;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.Snapshot;
import io.trailladder.wire.NodeMessage.SnapshotAsk;
import io.trailladder.wire.NodeMessage.TenantUse;
import io.trailladder.wire.NodeMessage.UsageHistory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the peers tell, and what they are told.
 *
 * @since 0.2
 */
public final class ClusterView implements MeshListener {
    /** How often peers are told, in milliseconds. */
    public static final long DIGEST_MILLIS = 200;

    private static final long ASK_MILLIS = 300;
    private static final int RECENT_LEAVING = 32;
    private static final double LEAST_BUSY = 0.02;

    private final EventLoop loop;
    private final PolicyKeeper policies;
    private final DirectoryKeeper directory;
    private final StoreHealth store;
    private final Quotas quotas;
    private final WorkerLoads loads;
    private final UsageLedger usage;
    private final DemandMeter demand;
    private final String life;
    private final GatewayMetrics metrics;
    private final List<String> recentLeaving = new ArrayList<>();
    private final Map<String, Long> digestMillis = new HashMap<>();
    private final Map<String, List<ServiceDemand>> peerDemands = new HashMap<>();
    private final Set<String> members = new HashSet<>();
    private PeerMesh mesh;
    private boolean draining;
    private long askedMillis;

    /**
     * Creates a view without peers.
     *
     * @param loop the loop whose thread runs it
     * @param policies the policy in force
     * @param directory the list of upstreams
     * @param store whether the store answers
     * @param quotas the tenants' limits
     * @param loads the work under way at upstreams
     * @param usage counts requests that began to run
     * @param demand measures the load of services here
     * @param life names this life of this process
     * @param metrics the process's figures
     */
    public ClusterView(
            EventLoop loop,
            PolicyKeeper policies,
            DirectoryKeeper directory,
            StoreHealth store,
            Quotas quotas,
            WorkerLoads loads,
            UsageLedger usage,
            DemandMeter demand,
            String life,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.policies = policies;
        this.directory = directory;
        this.store = store;
        this.quotas = quotas;
        this.loads = loads;
        this.usage = usage;
        this.demand = demand;
        this.life = life;
        this.metrics = metrics;
        directory.onLeaving(worker -> remember(worker.id()));
    }

    /**
     * Begins to tell the peers.
     *
     * @param links the links to them
     */
    public void start(PeerMesh links) {
        mesh = links;
        policies.onChange(policy -> tellPeers());
        loop.repeat(DIGEST_MILLIS, this::tick);
    }

    /**
     * Sets the names of the processes that the store lists.
     *
     * @param names their names
     */
    public void members(Set<String> names) {
        members.clear();
        members.addAll(names);
    }

    /** Tells the peers what this process knows now. */
    public void tellNow() {
        tellPeers();
    }

    /** Has the peers told that this process stops. */
    public void draining() {
        draining = true;
        tellPeers();
    }

    /**
     * Returns how many processes share limits: this one, those the store lists, those heard.
     *
     * @return a count of at least 1
     */
    public int entries() {
        return Math.max(1, others().size() + 1);
    }

    /**
     * Returns the age of the oldest digest of a heard peer.
     *
     * @return milliseconds; 0 without peers
     */
    public long oldestDigestMillis() {
        long now = loop.nowMillis();
        long oldest = 0;
        for (String peer : mesh.heardPeers()) {
            oldest = Math.max(oldest, now - digestMillis.getOrDefault(peer, now));
        }
        return oldest;
    }

    /**
     * Returns the load of a service over all heard processes.
     *
     * @param service the service
     * @return how many upstreams it keeps busy; below 0 if it was not asked for lately
     */
    public double busy(String service) {
        double busy = 0;
        for (ServiceDemand own : demand.demands(loop.nowMillis())) {
            busy += own.service().equals(service) ? own.busy() : 0;
        }
        for (List<ServiceDemand> demands : peerDemands.values()) {
            for (ServiceDemand other : demands) {
                busy += other.service().equals(service) ? other.busy() : 0;
            }
        }
        return busy < LEAST_BUSY ? -1 : busy;
    }

    @Override
    public void linked(NodeHello peer) {
        DecisionLog.write(
                new DecisionLog.Lifecycle("peer " + peer.name(), "linked", peer.address()));
        mesh.send(peer.name(), digest());
        usage.entries()
                .forEach(
                        entry ->
                                mesh.send(
                                        peer.name(),
                                        new UsageHistory(entry, usage.countsOf(entry))));
        if (!store.isReachable() || policies.version() == 0) {
            mesh.send(peer.name(), new SnapshotAsk(policies.version()));
        }
    }

    @Override
    public void received(NodeHello peer, NodeMessage message) {
        if (message instanceof NodeDigest digest) {
            digest(peer, digest);
        } else if (message instanceof UsageHistory history) {
            usage.merge(history.life(), history.usage());
        } else if (message instanceof SnapshotAsk) {
            mesh.send(
                    peer.name(),
                    new Snapshot(
                            policies.version(),
                            policies.bytes(),
                            directory.revision(),
                            directory.entries()));
        } else if (message instanceof Snapshot snapshot) {
            snapshot(peer, snapshot);
        }
    }

    private void digest(NodeHello peer, NodeDigest digest) {
        long now = loop.nowMillis();
        String peerLife = peer.name() + '/' + peer.incarnation();
        digestMillis.put(peer.name(), now);
        usage.merge(peerLife, digest.usage());
        quotas.peerUsed(peerLife, digest.quotas(), now);
        loads.peerUses(peer.name(), digest.uses());
        peerDemands.put(peer.name(), digest.demands());
        digest.leaving().forEach(id -> directory.leavingSeenBy(id, peer.name()));
        boolean newerPolicy = digest.policyVersion() > policies.version();
        boolean newerList =
                !store.isReachable() && digest.directoryRevision() > directory.revision();
        if ((newerPolicy || newerList) && now - askedMillis >= ASK_MILLIS) {
            askedMillis = now;
            mesh.send(peer.name(), new SnapshotAsk(policies.version()));
        }
    }

    private void snapshot(NodeHello peer, Snapshot snapshot) {
        if (snapshot.policyVersion() > policies.version()
                && policies.offer(snapshot.policy(), peer.name())) {
            metrics.count(GatewayMetrics.Event.POLICY_FROM_PEER);
        }
        if (!store.isReachable() || directory.revision() == 0) {
            directory.fromPeer(snapshot.workers(), snapshot.directoryRevision(), peer.name());
        }
    }

    private void tick() {
        forgetSilentPeers();
        int all = entries();
        int heard = mesh.heardPeers().size() + 1;
        quotas.sharedPart(Math.min(1.0, heard / (double) all), loop.nowMillis());
        tellPeers();
    }

    private void forgetSilentPeers() {
        Set<String> heard = new HashSet<>(mesh.heardPeers());
        for (String peer : List.copyOf(digestMillis.keySet())) {
            if (!heard.contains(peer)) {
                digestMillis.remove(peer);
                loads.peerLost(peer);
                peerDemands.remove(peer);
                DecisionLog.write(new DecisionLog.Lifecycle("peer " + peer, "silent", ""));
            }
        }
    }

    private void tellPeers() {
        mesh.sendAll(digest());
    }

    private NodeDigest digest() {
        long now = loop.nowMillis();
        List<TenantUse> uses = quotas.uses(now);
        return new NodeDigest(
                policies.version(),
                directory.revision(),
                draining,
                usage.countsOf(life),
                uses,
                loads.ownUses(),
                demand.demands(now),
                List.copyOf(recentLeaving));
    }

    private Set<String> others() {
        Set<String> others = new HashSet<>(members);
        others.addAll(mesh.heardPeers());
        others.remove(life.substring(0, life.indexOf('/')));
        return others;
    }

    private void remember(String worker) {
        recentLeaving.add(worker);
        if (recentLeaving.size() > RECENT_LEAVING) {
            recentLeaving.remove(0);
        }
    }
}
