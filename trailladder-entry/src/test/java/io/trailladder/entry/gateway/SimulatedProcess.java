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
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.membership.HubTopology;
import io.trailladder.core.membership.LinkPlanner;
import io.trailladder.core.membership.LinkPlanner.LinkPlan;
import io.trailladder.core.policy.RequestBounds;
import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.SendSlotOrder;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.entry.mesh.Mesh;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.entry.mesh.RegionView;
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/** One process of a {@link SimulatedCluster}. */
final class SimulatedProcess {
    private static final long DIAL_INTERVAL_MILLIS = 400;
    private static final long PEER_TIMEOUT_MILLIS = 2_500;
    private static final long STARTUP_LIST_INTERVAL_MILLIS = 1_000;
    private static final long LIST_INTERVAL_MILLIS = 3_000;

    /** How long a request waits for units of other processes, as one with a long objective. */
    private static final long MAX_UNITS_WAIT_MILLIS = 250;

    /** Length of the usage windows, in milliseconds. */
    static final long USAGE_WINDOW_MILLIS = 5_000;

    private final SimulatedCluster cluster;
    private final GatewayMember member;
    private final long offsetMillis;
    private final Map<String, Long> lastReceivedMillis = new HashMap<>();
    private final UpstreamDirectory upstreams = new UpstreamDirectory();
    private Topology topology;
    private DirectoryManager directory;
    private PolicyManager policies;
    private UpstreamLoads loads;
    private LinkPlanner planner;
    private LinkPlan plan;
    private Quotas quotas;
    private UsageLedger usage;
    private ClusterView view;
    private CrashWatch crashes;
    private UpstreamLimits limits;
    private StoreHealth health;
    private boolean suppliedByPeers;
    private boolean storeReachable = true;
    private NodeHello hello;
    private boolean planned;
    private boolean listedAtStart;

    /** Whether this process has started, or been resumed, since it last wrote its entry. */
    private boolean resumed;

    private final TreeMap<Long, List<Runnable>> tasks = new TreeMap<>();
    private boolean running;
    private boolean frozen;
    private boolean earlyDigestRequested;
    private int incarnation;
    private long startedMillis;
    private long listAtMillis;
    private double fractionalRequests;

    SimulatedProcess(SimulatedCluster cluster, GatewayMember member, long offsetMillis) {
        this.cluster = cluster;
        this.member = member;
        this.offsetMillis = offsetMillis;
    }

    void start(boolean firstStart) {
        incarnation++;
        running = true;
        resumed = true;
        planned = false;
        tasks.clear();
        plan = new LinkPlan(true, Set.of());
        topology = cluster.topology(member.dataCentre());
        planner = new LinkPlanner(member, topology);
        hello =
                new NodeHello(
                        member.name(),
                        Integer.toString(incarnation),
                        member.dataCentre(),
                        member.address());
        GatewayMetrics metrics = new GatewayMetrics();
        quotas = new Quotas(firstStart, cluster.tolerance(), new LimitUseLog(metrics));
        PlatformFormat format = new VersionFormat();
        policies = new PolicyManager(format);
        health = new StoreHealth(metrics);
        directory = new DirectoryManager(format, upstreams, cluster::now, task -> {});
        health.history().onReplaced(directory::historyReplaced);
        suppliedByPeers = false;
        usage = new UsageLedger(member.name() + '/' + incarnation, USAGE_WINDOW_MILLIS);
        loads = new UpstreamLoads();
        view =
                new ClusterView(
                        cluster::now,
                        policies,
                        directory,
                        health,
                        quotas,
                        loads,
                        usage,
                        new DemandMeter(),
                        new EngineModel(),
                        metrics,
                        this::schedule);
        crashes = new CrashWatch(cluster::now, metrics);
        limits = new UpstreamLimits(cluster::now, this::sendSlotOrder);
        view.add(LimitPart.of(limits, cluster::now, () -> earlyDigestRequested = true));
        view.add(new CrashPart(crashes, member.name().hashCode() * 31L + incarnation));
        crashes.onNewEnd(view::sendDigestsSoon);
        view.start(new Links(), () -> false);
        quotas.applyPolicy(cluster.policy(), cluster.now());
        startedMillis = cluster.now();
        listAtMillis = startedMillis;
        lastReceivedMillis.clear();
    }

    void stop() {
        running = false;
    }

    void freeze(boolean newState) {
        frozen = newState;
        resumed = !newState;
    }

    boolean isRunning() {
        return running && !frozen;
    }

    boolean isHub() {
        return plan.hub();
    }

    UpstreamDirectory upstreams() {
        return upstreams;
    }

    DirectoryManager directory() {
        return directory;
    }

    PolicyManager policies() {
        return policies;
    }

    UsageLedger usage() {
        return usage;
    }

    UpstreamLoads loads() {
        return loads;
    }

    UpstreamLimits limits() {
        return limits;
    }

    private SendSlotOrder sendSlotOrder(Upstream upstream) {
        List<String> names = cluster.names();
        return new SendSlotOrder(names.indexOf(member.name()), names.size());
    }

    CrashWatch crashes() {
        return crashes;
    }

    ClusterView view() {
        return view;
    }

    GatewayMember member() {
        return member;
    }

    NodeHello hello() {
        return hello;
    }

    void policyChanged() {
        quotas.applyPolicy(cluster.policy(), cluster.now());
    }

    /** Returns the whole number of requests due now; fractions are carried over to later calls. */
    int wholeRequests(double expectedRequests) {
        fractionalRequests += expectedRequests;
        int whole = (int) fractionalRequests;
        fractionalRequests -= whole;
        return whole;
    }

    /** Sends an early digest if one was requested, once the requests of this step are decided. */
    void sendRequestedDigest() {
        if (earlyDigestRequested) {
            earlyDigestRequested = false;
            view.sendDigestsSoon();
        }
    }

    /** Decides a request; the outcome is 0 if it is admitted, else the time to come back. */
    void request(double units, LongConsumer outcome) {
        quotas.request(
                SimulatedCluster.ORGANISATION,
                units,
                MAX_UNITS_WAIT_MILLIS,
                cluster.now(),
                new DecidedOutcome(outcome));
    }

    /** Records that a request reaches an upstream once more. */
    void sentAgain(double units) {
        quotas.sent(SimulatedCluster.ORGANISATION, units, 2, 0, cluster.now());
    }

    long now() {
        return cluster.now();
    }

    private void schedule(long delayMillis, Runnable task) {
        tasks.merge(cluster.now() + delayMillis, List.of(task), SimulatedProcess::joined);
    }

    private static List<Runnable> joined(List<Runnable> some, List<Runnable> others) {
        List<Runnable> all = new ArrayList<>(some);
        all.addAll(others);
        return all;
    }

    private void runDueTasks(long now) {
        Map<Long, List<Runnable>> due = new TreeMap<>(tasks.headMap(now, true));
        tasks.headMap(now, true).clear();
        due.values().forEach(each -> each.forEach(Runnable::run));
    }

    void step(long now) {
        runDueTasks(now);
        if (now >= listAtMillis && storeReachable) {
            if (!planned) {
                listedAtStart = cluster.listed().contains(member);
            }
            planner.members(cluster.listed());
            planned = true;
            boolean settling = now - startedMillis < LIST_INTERVAL_MILLIS;
            listAtMillis = now + (settling ? STARTUP_LIST_INTERVAL_MILLIS : LIST_INTERVAL_MILLIS);
        }
        if ((now + offsetMillis) % DIAL_INTERVAL_MILLIS < 20) {
            maintainLinks(now);
        }
        if ((now + offsetMillis) % ClusterView.DIGEST_INTERVAL_MILLIS < 20) {
            view.tick();
        }
    }

    /** Delivers a change of the upstream list as the store does. */
    void storeChanged(StoreItem item) {
        if (isRunning()) {
            directory.changed(item);
        }
    }

    /** Sets whether the store answers this process. */
    void setStoreReachable(boolean answers) {
        storeReachable = answers;
        if (answers) {
            health.answered();
        } else {
            health.failed(StoreFailure.UNANSWERED);
        }
    }

    /** Whether the entry must be written because the process was not running. */
    boolean takeResumed() {
        boolean before = resumed;
        resumed = false;
        return before;
    }

    boolean isStoreReachable() {
        return storeReachable;
    }

    /** Returns the store health as this process sees it. */
    StoreHealth health() {
        return health;
    }

    /** Whether this process follows the store itself instead of receiving changes from peers. */
    boolean followsStore() {
        suppliedByPeers = view.isFed(suppliedByPeers);
        return !suppliedByPeers;
    }

    long directoryRevision() {
        return directory.revision();
    }

    void linked(NodeHello peer) {
        planner.reached(peer.address());
        lastReceivedMillis.put(peer.name(), cluster.now());
        view.linked(peer);
    }

    void closed(String address) {
        planner.unreachable(address, cluster.now());
        if (!plan.hub() && plan.dial().contains(address)) {
            schedule(0, () -> maintainLinks(cluster.now()));
        }
    }

    void received(NodeHello peer, NodeMessage message) {
        if (isRunning()) {
            lastReceivedMillis.put(peer.name(), cluster.now());
            view.received(peer, message);
        }
    }

    private void maintainLinks(long now) {
        for (Map.Entry<String, Long> received : Map.copyOf(lastReceivedMillis).entrySet()) {
            String address = received.getKey() + ":1";
            boolean ownHub = !plan.hub() && plan.dial().contains(address);
            long timeoutMillis = ownHub ? PeerMesh.PEER_REACHABLE_MILLIS : PEER_TIMEOUT_MILLIS;
            if (cluster.linked(member.name(), received.getKey())
                    && now - received.getValue() > timeoutMillis) {
                planner.unreachable(address, now);
                cluster.close(member.name(), received.getKey());
                lastReceivedMillis.remove(received.getKey());
            }
        }
        if (planned) {
            plan = planner.plan(view.isNeeded(), now);
        }
        boolean fullMesh =
                planner.size() <= HubTopology.FULL_MESH_MAX_PROCESSES && topology.isOneRegion();
        if (planned && !fullMesh) {
            cluster.closeUnplanned(member.name(), plan.dial());
        }
        for (String address : plan.dial()) {
            String name = address.substring(0, address.indexOf(':'));
            if (!cluster.linked(member.name(), name) && !cluster.dial(this, address)) {
                planner.unreachable(address, now);
            }
        }
    }

    /** Reads policies whose value is only their version. */
    private static final class VersionFormat extends EmptyPlatformFormat {
        @Override
        public Either<String, ServingPolicy> policy(byte[] value) {
            long version = Long.parseLong(new String(value, StandardCharsets.US_ASCII));
            return Either.right(
                    new ServingPolicy(
                            version, List.of(), List.of(), List.of(), RequestBounds.DEFAULTS));
        }
    }

    /** The simulated links as a {@link Mesh} for the view. */
    private final class Links implements Mesh {
        @Override
        public String name() {
            return member.name();
        }

        @Override
        public boolean wasListedAtStart() {
            return listedAtStart;
        }

        @Override
        public void avoid(NodeHello peer) {
            planner.unreachable(peer.address(), cluster.now());
            cluster.close(member.name(), peer.name());
            schedule(0, () -> maintainLinks(cluster.now()));
        }

        @Override
        public int size() {
            return planner.size();
        }

        @Override
        public boolean isHub() {
            return plan.hub();
        }

        @Override
        public boolean isPlanned() {
            return planned;
        }

        @Override
        public boolean isOwnHub(NodeHello peer) {
            return !plan.hub() && plan.dial().contains(peer.address());
        }

        @Override
        public Optional<RegionView> regions() {
            return topology.isOneRegion()
                    ? Optional.empty()
                    : Optional.of(new RegionView(hello, topology, planner));
        }

        @Override
        public boolean isStoreFollower(String name) {
            return planner.isStoreFollower(name);
        }

        @Override
        public boolean followsStoreForHubs() {
            return planner.isStoreFollower(member.name());
        }

        @Override
        public boolean receivesUpdatesFrom(NodeHello peer) {
            boolean follower = isStoreFollower(peer.name()) && !followsStoreForHubs();
            return plan.hub() ? follower : isOwnHub(peer);
        }

        @Override
        public Set<String> send(Collection<String> peers, NodeMessage message) {
            Set<String> linked = new HashSet<>();
            for (String peer : peers) {
                if (cluster.linked(member.name(), peer)) {
                    linked.add(peer);
                    cluster.send(hello, peer, message);
                }
            }
            return linked;
        }
    }
}
