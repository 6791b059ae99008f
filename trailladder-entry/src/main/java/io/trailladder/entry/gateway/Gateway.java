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

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.trailladder.core.duty.ElectionDelay;
import io.trailladder.core.duty.LeaderElection;
import io.trailladder.core.duty.UsageLedger;
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryBudget;
import io.trailladder.core.pipeline.EventSteps;
import io.trailladder.core.policy.RequestBounds;
import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.BrittleUpstreams;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.core.upstream.RelayPeers;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamAvailability;
import io.trailladder.core.upstream.UpstreamBackoffs;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.core.upstream.UpstreamSelector;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.gateway.DecisionLog.StoreUse;
import io.trailladder.entry.gateway.StoreCalls.Purpose;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.HttpConnector;
import io.trailladder.entry.http.HttpServer;
import io.trailladder.entry.http.ServerBounds;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.loop.SteadyClock;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.CoordinationStore.Freshness;
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.relay.RelayObserver;
import io.trailladder.entry.relay.RelayServer;
import io.trailladder.entry.relay.UpstreamDialer;
import io.trailladder.platform.http.HostPort;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.tinylog.Logger;

/**
 * One gateway process. Wires its parts together, starts them, and stops them in order.
 *
 * @since 0.2
 */
public final class Gateway {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long PRUNE_INTERVAL_MILLIS = 1_000;
    private static final long ROLE_CHECK_INTERVAL_MILLIS = 200;

    /**
     * Interval between log lines of the store's use, in milliseconds: about one line in a hundred.
     */
    private static final long STORE_USE_LOG_INTERVAL_MILLIS = 5_000;

    private static final long DIRECTORY_WATCH_PAUSE_MILLIS = 150;
    private static final long LOST_UNRESPONSIVE_MILLIS = 500;
    private static final long STOP_CHECK_INTERVAL_MILLIS = 100;
    private static final long MIN_DRAIN_MILLIS = 2_600;
    private static final long END_MARGIN_MILLIS = 700;
    private static final long ELECTION_DELAY_MILLIS = 100;
    private static final long ELECTION_JITTER_MILLIS = 500;
    private static final long STORE_GRACE_MILLIS = 700;

    /** File descriptors reserved for archives, libraries and the pipes of the selector. */
    private static final int RESERVED_FILE_DESCRIPTORS = 200;

    /**
     * Callers may use three of four sockets. A request needs at most one more socket, which it
     * shares with other requests.
     */
    private static final int CALLER_SHARE_NUMERATOR = 3;

    private static final int CALLER_SHARE_DENOMINATOR = 4;
    private static final byte[] EMPTY_BODY = {};

    /** Minimum time between two reads of a plan that others use, in milliseconds. */
    private static final long PLAN_READ_INTERVAL_MILLIS = 2_000;

    private final GatewaySettings settings;
    private final EventLoop loop = new EventLoop();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final PathMetrics pathMetrics = new PathMetrics(metrics.registry());
    private final StoreCalls storeCalls = new StoreCalls(metrics);
    private final HttpConnector connector = new HttpConnector(loop);
    private final PathMonitor paths = new PathMonitor(this::pathsChanged);
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamLoads loads = new UpstreamLoads();
    private final UpstreamBackoffs backoffs = new UpstreamBackoffs();
    private final UpstreamLimits limits;
    private final BrittleUpstreams brittle;
    private final UpstreamAvailability availability;
    private final EngineModel engines = new EngineModel();
    private final Topology topology;
    private final Optional<RegionMetrics> regionMetrics;
    private final ElectionDelay storeDelay = new ElectionDelay();
    private final StoreHealth storeHealth = new StoreHealth(metrics);
    private final PolicyManager policyManager;
    private final DirectoryManager directoryManager;
    private final Quotas quotas;
    private final ClusterView view;
    private final PeerMesh mesh;
    private final RelayServer relays;
    private final Membership membership;
    private final DutyRunner duties;
    private final RolloutParts rollouts;
    private final FleetRunner fleet;
    private final MemoryManager memoryManager;
    private final RetryBudgets budgets;
    private final StreamVersions streams;
    private final LinkedStreamPeers streamPeers;
    private final StreamBasisPart streamBasis;
    private final CrashWatch crashes = new CrashWatch(loop::nowMillis, metrics);
    private final StoreRecord<?> crashRecord;
    private final StoreRecord<?> versionRecord;
    private final StoreRecords records;
    private long planReadMillis = -PLAN_READ_INTERVAL_MILLIS;
    private final CrashPages crashPages = new CrashPages(crashes, loop::nowMillis);
    private final RequestIntake intake;
    private final HttpServer callerServer;
    private final HttpServer healthServer;
    private final HttpServer metricsServer;
    private final StoreWatcher policyWatcher;
    private final StoreWatcher directoryWatcher;
    private final StoreWatcher leaderWatcher;
    private final long startedMillis = loop.nowMillis();
    private final Runnable onStopped;
    private boolean stopping;
    private long policyKnownMillis = Long.MAX_VALUE;

    /** Whether the state has once been known, after which nothing waits for limits. */
    private boolean stateOnceKnown;

    private boolean fedByPeers;

    /**
     * Creates a process without starting it.
     *
     * @param settings the settings
     * @param adapters creates the adapter of the platform
     * @param onStopped runs when the process has stopped
     */
    public Gateway(
            GatewaySettings settings,
            BiFunction<EventLoop, HttpConnector, PlatformAdapter> adapters,
            Runnable onStopped) {
        this.settings = settings;
        this.onStopped = onStopped;
        PlatformAdapter platform = adapters.apply(loop, connector);
        String name = settings.node().name();
        SplittableRandom random = new SplittableRandom(name.hashCode() ^ System.nanoTime());
        String incarnation = Long.toHexString(random.nextLong());
        String incarnationId = name + '/' + incarnation;
        Clock steadyClock = new SteadyClock(Clock.systemUTC(), loop::nowMillis);
        TimePart clock = new TimePart(steadyClock, loop::nowMillis);
        UsageLedger usage = new UsageLedger(incarnationId, settings.timing().usageWindowMillis());
        DemandMeter demand = new DemandMeter();
        policyManager = new PolicyManager(platform.format());
        directoryManager =
                new DirectoryManager(
                        platform.format(),
                        directory,
                        loop::nowMillis,
                        task -> loop.schedule(DirectoryManager.REAPPEARANCE_MILLIS, task));
        storeHealth.onRegained(directoryManager::storeRegained);
        StoreHistory history = storeHealth.history();
        platform.store().onEpoch(history);
        history.onReplaced(directoryManager::historyReplaced);
        directoryManager.onIgnoredUpdate(
                change -> history.updateIgnored(change, directoryManager.revision()));
        quotas =
                new Quotas(
                        settings.node().firstStart(),
                        settings.tolerance(),
                        new LimitUseLog(metrics));
        view =
                new ClusterView(
                        loop::nowMillis,
                        policyManager,
                        directoryManager,
                        storeHealth,
                        quotas,
                        loads,
                        usage,
                        demand,
                        engines,
                        metrics,
                        loop::schedule);
        topology = Topology.of(settings.self().dataCentre(), settings.regions().byDataCentre());
        limits = new UpstreamLimits(clock::millis, turnOrders(name)::of);
        brittle = new BrittleUpstreams(loads, clock::millis, loop::nowMillis, turnOrders(name)::of);
        availability = new UpstreamAvailability(directory, backoffs, limits, brittle);
        view.add(LimitPart.of(limits, loop::nowMillis, () -> loop.execute(view::sendDigestsSoon)));
        view.add(clock);
        view.add(new BrittlePart(brittle));
        view.add(new CrashPart(crashes, random.nextLong()));
        crashes.onNewEnd(() -> loop.execute(view::sendDigestsSoon));
        GatewayMember self = settings.self();
        regionMetrics =
                topology.isOneRegion()
                        ? Optional.empty()
                        : Optional.of(new RegionMetrics(metrics.registry()));
        mesh = new PeerMesh(loop, self, linkTopology(), incarnation, view);
        mesh.seeds(settings.seeds().stream().map(HostPort::toString).toList());
        RelayObserver relayObserver = new RelayRecorder(pathMetrics);
        relays =
                new RelayServer(
                        loop, directory, paths, relayObserver, settings.limits().descriptors());
        mesh.relays(relays);
        useRelays(name, random.split(), relayObserver);
        membership =
                new Membership(
                        loop,
                        countedStore(platform, Purpose.MEMBERS),
                        storeHealth,
                        mesh,
                        self,
                        settings.node().firstStart(),
                        random.split());
        LeaderElection election =
                new LeaderElection(
                        settings.timing().leaseMillis(),
                        electionDelay(random.nextLong(ELECTION_JITTER_MILLIS)),
                        2 * settings.timing().leaseMillis());
        duties =
                new DutyRunner(
                        loop,
                        clock,
                        countedStore(platform, Purpose.LEADERSHIP),
                        storeHealth,
                        platform.duties(),
                        usage,
                        election,
                        name,
                        incarnationId,
                        settings.timing(),
                        random.split(),
                        metrics);
        view.epochUpdates().tokens(duties::highestToken, duties::tokenReported);
        records =
                new StoreRecords(
                        loop,
                        purpose -> countedStore(platform, purpose),
                        storeHealth,
                        duties::leads);
        crashRecord =
                records.add(
                        Purpose.CRASHES,
                        CrashRecords.KEY,
                        Freshness.RECENT,
                        StoreRecord.WRITE_CHECK_INTERVAL_MILLIS,
                        new CrashRecords(clock, loop::nowMillis, crashes));
        VersionGate versions = new VersionGate();
        rollouts =
                new RolloutParts(
                        loop,
                        countedStore(platform, Purpose.ROLLOUTS),
                        storeHealth,
                        random,
                        platform.format(),
                        settings,
                        versions,
                        directory,
                        loads,
                        view,
                        duties::leads,
                        metrics);
        fleet =
                new FleetRunner(
                        loop,
                        platform.duties(),
                        duties,
                        policyManager,
                        directory,
                        view::load,
                        limits,
                        engines,
                        metrics,
                        rollouts.manager()::isMoving,
                        mesh::isHub,
                        !settings.node().firstStart());
        memoryManager = memoryManager(settings.limits());
        boolean firstStart = settings.node().firstStart();
        budgets =
                new RetryBudgets(
                        settings.retries(),
                        firstStart ? view::listedSharing : view::settledSharing,
                        loop.nowMillis(),
                        firstStart);
        streams = new StreamVersions(name, directory, versions, loop.nowMillis());
        Predicate<String> plans = this::plansStreams;
        streamPeers = new LinkedStreamPeers(view, mesh, plans);
        StreamTelling streamTelling =
                new StreamTelling(loop::nowMillis, loop::schedule, streams, streamPeers);
        streamBasis =
                new StreamBasisPart(
                        streams, streamTelling, view::isFedBy, view::isLinked, loop::nowMillis);
        view.add(streamBasis);
        view.add(new StreamPart(streams, () -> view.isAnyPeerNot(plans)));
        versionRecord =
                records.add(
                        Purpose.VERSIONS,
                        VersionRecords.KEY,
                        Freshness.LATEST,
                        VersionRecords.WRITE_CHECK_INTERVAL_MILLIS,
                        new VersionRecords(
                                streams,
                                loop::nowMillis,
                                storeHealth.history()::epoch,
                                view::sendDigests));
        EventSteps eventSteps = new EventSteps();
        records.add(
                Purpose.EVENT_STEPS,
                EventStepsRecord.KEY,
                Freshness.RECENT,
                StoreRecord.WRITE_CHECK_INTERVAL_MILLIS,
                new EventStepsRecord(eventSteps, firstStart));
        StreamExchange streamExchange =
                new StreamExchange(
                        loop::nowMillis, loop::schedule, streams, streamPeers, versionRecord::read);
        view.streams(streamExchange, streamTelling);
        storeHealth.history().onReplaced(streams.record()::storeReplaced);
        ServingContext context =
                new ServingContext(
                        loop,
                        clock,
                        platform.protocol(),
                        connector,
                        paths,
                        new ConnectionShares(policyManager, view::listedSharing),
                        directory,
                        availability,
                        backoffs,
                        limits,
                        brittle,
                        new UpstreamNotices(
                                loop::nowMillis,
                                directoryManager,
                                backoffs,
                                limits,
                                brittle,
                                metrics),
                        loads,
                        new UpstreamSelector(
                                topology,
                                availability,
                                loads,
                                engines,
                                versions,
                                mesh::regionSize,
                                List.of(limits.cost())),
                        streams,
                        streamExchange,
                        streamTelling,
                        eventSteps,
                        quotas,
                        budgets,
                        usage,
                        demand,
                        engines,
                        rollouts.manager(),
                        new RetryAfterEstimator(
                                policyManager, availability, loads, engines, random.split()),
                        metrics,
                        view::oldestDigestMillis,
                        memoryManager,
                        crashes);
        intake = new RequestIntake(context, policyManager, this::isStateKnown, random.split());
        crashes.onRefused(request -> loop.execute(() -> intake.stopCrashing(request)));
        callerServer = new HttpServer(loop, bounds(RequestBounds.DEFAULTS), intake);
        callerServer.memory(memoryManager.account(), memoryManager);
        memoryManager.unreadAnswers(callerServer::unreadAnswers);
        if (settings.limits().descriptors() > 0) {
            callerServer.maxConnections(callerConnections(settings.limits().descriptors()));
        }
        ServerBounds internalBounds = bounds(RequestBounds.DEFAULTS);
        healthServer = new HttpServer(loop, internalBounds, this::serveReadiness);
        metricsServer = new HttpServer(loop, internalBounds, this::serveMetrics);
        PlatformFormat format = platform.format();
        policyWatcher =
                watcher(
                        countedStore(platform, Purpose.POLICY),
                        random,
                        format.policyKey(),
                        0,
                        new PolicyListener(format.policyKey()));
        directoryWatcher =
                watcher(
                        countedStore(platform, Purpose.UPSTREAMS),
                        random,
                        format.upstreamPrefix(),
                        DIRECTORY_WATCH_PAUSE_MILLIS,
                        directoryManager);
        view.onMissedChange(directoryWatcher::relist);
        storeHealth.onAnswered(this::storeAnswered);
        leaderWatcher =
                watcher(
                        countedStore(platform, Purpose.LEADERSHIP),
                        random,
                        DutyRunner.LEADER_PREFIX,
                        0,
                        duties);
    }

    /**
     * Starts the process.
     *
     * @throws IOException if it cannot listen on one of its addresses
     */
    public void start() throws IOException {
        policyManager.onChange(this::policyChanged);
        directoryManager.onLeaving(this::upstreamLeaving);
        callerServer.start(settings.listen().callers());
        healthServer.start(settings.listen().health());
        metricsServer.start(settings.listen().metrics());
        mesh.start(settings.listen().peers());
        view.start(mesh, duties::leads);
        loop.repeat(ClusterView.DIGEST_INTERVAL_MILLIS, view::tick);
        loop.repeat(ClusterView.DIGEST_INTERVAL_MILLIS, this::updateStreams);
        loop.repeat(PRUNE_INTERVAL_MILLIS, this::pruneRemovedUpstreams);
        loop.repeat(ROLE_CHECK_INTERVAL_MILLIS, this::updateStoreWatches);
        loop.repeat(STORE_USE_LOG_INTERVAL_MILLIS, this::logStoreUse);
        loop.repeat(RetryBudgets.LOG_INTERVAL_MILLIS, () -> budgets.flush(loop.nowMillis()));
        loop.repeat(MemoryManager.CHECK_INTERVAL_MILLIS, memoryManager::tick);
        loop.repeat(CrashWatch.CHECK_INTERVAL_MILLIS, this::checkForCrashes);
        loop.execute(
                () -> {
                    policyWatcher.restart();
                    directoryWatcher.restart();
                    membership.start();
                    duties.start(settings.node().firstStart());
                    fleet.start();
                    rollouts.start();
                    records.start(settings.node().firstStart());
                });
        loop.start();
        DecisionLog.write(
                new Lifecycle("process", "started", settings.listen().callers().toString()));
        logMemoryBudget();
        settings.notes()
                .forEach(note -> DecisionLog.write(new Lifecycle("settings", "note", note)));
    }

    private void pruneRemovedUpstreams() {
        loads.evictUnlisted(directory);
        backoffs.evictUnlisted(directory, loop.nowMillis());
        limits.evictOutdated(directory, loop.nowMillis());
    }

    /** Begins to stop the process, which serves until the load balancer has removed it. */
    public void stop() {
        loop.execute(this::beginStop);
    }

    /**
     * Applies changed settings. Only the addresses of peers are applied to a running process.
     *
     * @param changed the new settings
     */
    public void reload(GatewaySettings changed) {
        loop.execute(
                () -> {
                    mesh.seeds(changed.seeds().stream().map(HostPort::toString).toList());
                    DecisionLog.write(new Lifecycle("process", "reloaded", "settings changed"));
                });
    }

    private void pathsChanged(PathMonitor.Change change) {
        pathMetrics.changed(change.state());
        DecisionLog.write(new PathState(change));
        if (change.state() == PathMonitor.State.ISOLATED) {
            // after the current event, which may be that of a connection
            loop.execute(this::leaveDirectConnections);
        }
    }

    /** Uses the connections no more that were opened before this process lost its own path. */
    private void leaveDirectConnections() {
        directory
                .all()
                .forEach(upstream -> connector.closeIdle(HostPort.parse(upstream.address())));
        intake.accepted().pathLost();
    }

    /** Has connections to upstreams opened through peers where this process reaches none. */
    private void useRelays(String name, SplittableRandom random, RelayObserver observer) {
        connector.upstreams(
                new UpstreamDialer(
                        loop,
                        name,
                        topology,
                        directory,
                        paths,
                        new RelayPeers(name, topology, random),
                        mesh::knownPeers,
                        observer));
    }

    private SendSlotOrders turnOrders(String name) {
        return new SendSlotOrders(
                name,
                topology,
                () -> mesh.members(),
                () -> view.sharingProcesses(),
                loop::nowMillis);
    }

    private MemoryManager memoryManager(GatewaySettings.Limits limits) {
        MemoryBudget budget =
                MemoryBudget.of(limits.memoryBytes(), Runtime.getRuntime().maxMemory());
        MemoryAccount account = new MemoryAccount(budget);
        return new MemoryManager(
                account, new MemoryMetrics(metrics.registry()), loop::nowMillis, loop::execute);
    }

    /**
     * Returns the maximum number of caller connections. The other descriptors are left for
     * upstreams, peers and the store.
     */
    private static int callerConnections(int descriptors) {
        int sockets = Math.max(0, descriptors - RESERVED_FILE_DESCRIPTORS);
        return Math.max(1, sockets / CALLER_SHARE_DENOMINATOR * CALLER_SHARE_NUMERATOR);
    }

    private void logMemoryBudget() {
        long limit = settings.limits().memoryBytes();
        String limitText = limit > 0 ? "limit of " + limit + " bytes" : "no limit known";
        String boundNote = MemoryBudget.fits(limit) ? "" : ", a conservative bound";
        long budget = memoryManager.account().budget().bytes();
        DecisionLog.write(
                new Lifecycle("memory", "budget", budget + " bytes; " + limitText + boundNote));
    }

    /**
     * Returns the topology of links between processes. Reports of hubs on roll-outs are not
     * aggregated by region, so all hubs link to each other where roll-outs are ordered.
     */
    private Topology linkTopology() {
        boolean linkAll = settings.rollouts().ordered() && !topology.isOneRegion();
        if (linkAll) {
            DecisionLog.write(
                    new Lifecycle("regions", "links as in one", "roll-outs are ordered here"));
        }
        return linkAll ? Topology.oneRegion(topology.dataCentre()) : topology;
    }

    /**
     * Returns the delay before this process stands for election. If there are several regions,
     * processes near the store stand first.
     */
    private LongSupplier electionDelay(long jitterMillis) {
        long baseMillis = ELECTION_DELAY_MILLIS + jitterMillis;
        return topology.isOneRegion()
                ? () -> baseMillis
                : () -> baseMillis + storeDelay.extraMillis();
    }

    private CoordinationStore countedStore(PlatformAdapter platform, Purpose purpose) {
        CoordinationStore store = new SameHistoryStore(platform.store(), storeHealth.history());
        return new CountedStore(store, storeCalls, purpose, loop::nowMillis, storeDelay::answered);
    }

    private StoreWatcher watcher(
            CoordinationStore store,
            SplittableRandom random,
            String prefix,
            long pauseMillis,
            StoreWatcher.Listener listener) {
        return new StoreWatcher(
                loop, store, storeHealth, random.split(), prefix, pauseMillis, listener);
    }

    private static ServerBounds bounds(RequestBounds bounds) {
        return new ServerBounds(
                bounds.maxBodyBytes(), bounds.headerTimeoutMillis(), bounds.idleTimeoutMillis());
    }

    private void policyChanged(ServingPolicy policy) {
        policyKnownMillis = Math.min(policyKnownMillis, loop.nowMillis());
        quotas.applyPolicy(policy, loop.nowMillis());
        callerServer.bounds(bounds(policy.bounds()));
    }

    /**
     * Moves requests away from an upstream that ends. An upstream lost without notice does not
     * report it, so requests that have received nothing lately move at once. Requests of an
     * upstream that announces its end move shortly before it.
     */
    private void upstreamLeaving(Upstream upstream) {
        if (directory.isLeaving(upstream.id())) {
            crashes.announcedLeaving(upstream);
        }
        if (!upstream.draining()) {
            intake.accepted().upstreamLost(upstream, LOST_UNRESPONSIVE_MILLIS);
            if (!directory.isLeaving(upstream.id())) {
                crashes.upstreamLost(upstream);
            }
        } else if (upstream.leavesInMillis() > 0) {
            long delayMillis = Math.max(0, upstream.leavesInMillis() - END_MARGIN_MILLIS);
            loop.schedule(delayMillis, () -> intake.accepted().upstreamEnding(upstream));
        }
    }

    private boolean isStateKnown() {
        boolean recordsKnown =
                (rollouts.isKnown() && crashRecord.isLoaded() && versionRecord.isLoaded())
                        || isStoreGraceOver();
        boolean known =
                policyManager.version() > 0
                        && directoryManager.isKnown()
                        && recordsKnown
                        && (stateOnceKnown || isLimitPartKnown());
        stateOnceKnown |= known;
        return known;
    }

    /**
     * Whether this process uses its part of limits, or cannot learn of the others. The time for
     * that begins with the policy, because the store may not answer before.
     */
    private boolean isLimitPartKnown() {
        boolean windowOver =
                loop.nowMillis() - policyKnownMillis >= StartupRequestQueue.STARTUP_WINDOW_MILLIS;
        return view.usesLimits() || (windowOver && !view.awaitsLimits());
    }

    /**
     * Whether the store has had its time to answer after the start; then state from peers suffices.
     */
    private boolean isStoreGraceOver() {
        return loop.nowMillis() - startedMillis >= STORE_GRACE_MILLIS;
    }

    private boolean isReady() {
        return !stopping && (policyWatcher.isComplete() || isStoreGraceOver()) && isStateKnown();
    }

    private void serveReadiness(ServerExchange exchange) {
        exchange.respond(isReady() ? OK : UNAVAILABLE, HeaderList.EMPTY, EMPTY_BODY);
    }

    private void checkForCrashes() {
        boolean reliable = storeHealth.isReachable() && !directoryManager.awaitsReappearance();
        crashes.check(directory.all(), reliable);
    }

    private void serveMetrics(ServerExchange exchange) {
        if (crashPages.handle(exchange)) {
            return;
        }
        updateMetrics();
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, metrics.registry().scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        HeaderList headers = HeaderList.of("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE);
        exchange.respond(OK, headers, text.toByteArray());
    }

    /** Watches the store only while no hub reports its content in time. */
    private void updateStoreWatches() {
        boolean before = fedByPeers;
        fedByPeers = view.isFed(before);
        if (fedByPeers != before) {
            String state = fedByPeers ? "told by peers" : "followed";
            DecisionLog.write(new Lifecycle("policy and upstreams", state, ""));
        }
        for (StoreWatcher watcher : List.of(policyWatcher, directoryWatcher)) {
            if (fedByPeers && watcher.isRunning()) {
                watcher.stop();
            } else if (!fedByPeers && !watcher.isRunning()) {
                watcher.restart();
            }
        }
        // a hub may lead, and a leader writes records under the revision that it has read itself
        rollouts.follow(fedByPeers && !mesh.isHub());
        updateLeaderWatch();
    }

    private void updateStreams() {
        long now = loop.nowMillis();
        streams.list().confirmed(now - directoryManager.ageMillis());
        if (mesh.isPlanned() && streamPeers.isFullMesh()) {
            streams.peersListed(streamPeers.needed(""), now);
        }
        streams.tick(now);
        if (streams.plans().isOutdated() && now - planReadMillis >= PLAN_READ_INTERVAL_MILLIS) {
            planReadMillis = now;
            versionRecord.read(read -> {});
        }
    }

    private boolean plansStreams(String peer) {
        return streamBasis.plans(peer);
    }

    /** Records that the store answered: it would have reported a change of the upstreams. */
    private void storeAnswered() {
        if (directoryWatcher.isWatching()) {
            directoryManager.confirmedCurrent();
        }
    }

    /**
     * Only hubs watch leadership, so that not all processes react at once when a leader is lost.
     */
    private void updateLeaderWatch() {
        boolean follows = mesh.isHub() && mesh.isPlanned();
        if (follows && !leaderWatcher.isRunning()) {
            leaderWatcher.restart();
        } else if (!follows && leaderWatcher.isRunning()) {
            leaderWatcher.stop();
        }
    }

    private void updateMetrics() {
        regionMetrics.ifPresent(
                regional ->
                        regional.update(
                                mesh::sentBytes,
                                view.regions().ages(loop.nowMillis()),
                                topology.otherRegions(),
                                view.regions().isRepresentative()));
        memoryManager.recordState(callerServer.refused());
        metrics.upstreamList(
                storeHealth.history().epoch(),
                directoryManager.revision(),
                directoryManager.ageMillis());
        metrics.unusableEntries(directoryManager.unusable());
        pathMetrics.openRelays(relays.open());
        metrics.backingOff(backoffs.count(loop.nowMillis()));
        metrics.limited(limits.count(directory.all()));
        metrics.brittle(brittle.count());
        policyManager
                .policy()
                .ifPresent(
                        policy ->
                                policy.services()
                                        .forEach(spec -> updateServiceMetrics(spec.name())));
        metrics.state(
                policyManager.version(),
                directory.all().size(),
                view.respondingPeers(),
                view.sharingProcesses(),
                intake.open(),
                duties.leads(),
                connector.opened());
    }

    private void logStoreUse() {
        List<StoreCalls.Count> counts = storeCalls.takeUnreported();
        if (!counts.isEmpty()) {
            DecisionLog.write(new StoreUse(counts));
        }
    }

    private void updateServiceMetrics(String service) {
        metrics.upstreams(service, engines.estimate(service, loop.nowMillis()));
    }

    private void beginStop() {
        if (stopping) {
            return;
        }
        stopping = true;
        DecisionLog.write(new Lifecycle("process", "stopping", intake.open() + " in flight"));
        view.draining();
        duties.stop();
        relays.stop();
        callerServer.closing();
        long begunMillis = loop.nowMillis();
        loop.repeat(STOP_CHECK_INTERVAL_MILLIS, () -> checkStopped(begunMillis));
    }

    private void checkStopped(long begunMillis) {
        long elapsedMillis = loop.nowMillis() - begunMillis;
        if (elapsedMillis >= MIN_DRAIN_MILLIS) {
            callerServer.stopListening();
            intake.refuseNew();
            callerServer.closeIdle();
        }
        boolean idle =
                elapsedMillis >= MIN_DRAIN_MILLIS && callerServer.open() == 0 && relays.open() == 0;
        boolean timedOut = elapsedMillis >= settings.timing().graceMillis() - END_MARGIN_MILLIS;
        if (idle || timedOut) {
            intake.stopAll();
            view.sendDigests();
            membership.stop();
            logStoreUse();
            DecisionLog.write(
                    new Lifecycle("process", "stopped", "after " + elapsedMillis + " ms"));
            loop.schedule(STOP_CHECK_INTERVAL_MILLIS, onStopped);
        }
    }

    /** Passes policy changes in the store to the policy manager. */
    private final class PolicyListener implements StoreWatcher.Listener {
        private final String policyKey;

        PolicyListener(String policyKey) {
            this.policyKey = policyKey;
        }

        @Override
        public void listed(List<StoreItem> items, long revision) {
            items.forEach(this::changed);
        }

        @Override
        public void changed(StoreItem item) {
            if (item.removed()) {
                Logger.warn("policy removed from the store; the policy in force is kept");
            } else {
                policyManager.offer(item.value(), "store");
            }
        }

        @Override
        public boolean follows(String key) {
            return key.equals(policyKey);
        }
    }
}
