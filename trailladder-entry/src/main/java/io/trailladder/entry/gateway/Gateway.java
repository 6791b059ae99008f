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
import io.trailladder.core.duty.LeaderElection;
import io.trailladder.core.duty.StorePatience;
import io.trailladder.core.duty.UsageLedger;
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryBudget;
import io.trailladder.core.policy.RequestBounds;
import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamAvailability;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.core.upstream.UpstreamRests;
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
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.StoreItem;
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
import org.tinylog.Logger;

/**
 * One gateway process: wires its parts together, starts them, and stops them in order.
 *
 * @since 0.2
 */
public final class Gateway {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long FORGET_MILLIS = 1_000;
    private static final long ROLE_MILLIS = 200;

    /** How often calls to the store are logged, in milliseconds: one line in some hundred. */
    private static final long STORE_USE_MILLIS = 5_000;

    private static final long DIRECTORY_PAUSE_MILLIS = 150;
    private static final long LOST_SILENT_MILLIS = 500;
    private static final long STOP_CHECK_MILLIS = 100;
    private static final long LEAST_DRAIN_MILLIS = 2_600;
    private static final long END_MARGIN_MILLIS = 700;
    private static final long ELECTION_PATIENCE_MILLIS = 100;
    private static final long ELECTION_SPREAD_MILLIS = 500;
    private static final long PEERS_FIRST_MILLIS = 700;

    /** Descriptors set aside for files: archives, libraries, pipes of the selector. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Of four sockets three may be callers': a request needs one more at most, and shares it. */
    private static final int CALLERS_PART = 3;

    private static final int CALLERS_OF = 4;
    private static final byte[] NO_BYTES = {};

    private final GatewaySettings settings;
    private final EventLoop loop = new EventLoop();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final StoreCalls storeCalls = new StoreCalls(metrics);
    private final HttpConnector connector = new HttpConnector(loop);
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamLoads loads = new UpstreamLoads();
    private final UpstreamRests rests = new UpstreamRests();
    private final UpstreamLimits limits;
    private final UpstreamAvailability availability;
    private final EngineModel engines = new EngineModel();
    private final Topology topology;
    private final Optional<RegionMetrics> regionMetrics;
    private final StorePatience storePatience = new StorePatience();
    private final StoreHealth storeHealth = new StoreHealth(metrics);
    private final PolicyManager policies;
    private final DirectoryManager directoryKeeper;
    private final Quotas quotas;
    private final ClusterView view;
    private final PeerMesh mesh;
    private final Membership membership;
    private final DutyRunner duties;
    private final RolloutParts rollouts;
    private final FleetRunner fleet;
    private final MemoryKeeper memory;
    private final CrashWatch crashes = new CrashWatch(loop::nowMillis, metrics);
    private final CrashRecords crashRecords;
    private final CrashPages crashPages = new CrashPages(crashes, loop::nowMillis);
    private final RequestIntake intake;
    private final HttpServer callers;
    private final HttpServer health;
    private final HttpServer figures;
    private final StoreWatcher policyWatcher;
    private final StoreWatcher directoryWatcher;
    private final StoreWatcher leaderWatcher;
    private final long startedMillis = loop.nowMillis();
    private final Runnable onStopped;
    private boolean stopping;
    private boolean fed;

    /**
     * Wires a process; nothing runs yet.
     *
     * @param settings what it is told
     * @param adapters makes the adapter of the platform it runs on
     * @param onStopped runs once it has stopped
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
        String life = name + '/' + incarnation;
        Clock own = new SteadyClock(Clock.systemUTC(), loop::nowMillis);
        TimePart clock = new TimePart(own, loop::nowMillis);
        UsageLedger usage = new UsageLedger(life, settings.timing().usageWindowMillis());
        DemandMeter demand = new DemandMeter();
        policies = new PolicyManager(platform.format());
        directoryKeeper =
                new DirectoryManager(
                        platform.format(),
                        directory,
                        loop::nowMillis,
                        task -> loop.schedule(DirectoryManager.REAPPEARANCE_MILLIS, task));
        storeHealth.onRegained(directoryKeeper::storeRegained);
        StoreHistory history = storeHealth.history();
        platform.store().onEpoch(history);
        history.onReplaced(directoryKeeper::historyReplaced);
        directoryKeeper.onIgnoredUpdate(
                news -> history.updateIgnored(news, directoryKeeper.revision()));
        quotas = new Quotas(settings.node().firstStart(), settings.tolerance());
        view =
                new ClusterView(
                        loop::nowMillis,
                        policies,
                        directoryKeeper,
                        storeHealth,
                        quotas,
                        loads,
                        usage,
                        demand,
                        engines,
                        metrics,
                        !settings.node().firstStart());
        topology = Topology.of(settings.self().dataCentre(), settings.regions().byDataCentre());
        limits = new UpstreamLimits(clock::millis, turnOrders(name)::of);
        availability = new UpstreamAvailability(directory, rests, limits);
        view.add(LimitPart.of(limits, loop::nowMillis, () -> loop.execute(view::tellSoon)));
        view.add(clock);
        view.add(new CrashPart(crashes, random.nextLong()));
        crashes.onNewEnd(() -> loop.execute(view::tellSoon));
        quotas.onMuchUsed(() -> loop.execute(view::tellSoon));
        GatewayMember self = settings.self();
        regionMetrics =
                topology.isOneRegion()
                        ? Optional.empty()
                        : Optional.of(new RegionMetrics(metrics.registry()));
        mesh = new PeerMesh(loop, self, linksOf(), incarnation, view);
        mesh.seeds(settings.seeds().stream().map(HostPort::toString).toList());
        membership =
                new Membership(
                        loop,
                        counted(platform, Purpose.MEMBERS),
                        storeHealth,
                        mesh,
                        self,
                        settings.node().firstStart(),
                        random.split());
        LeaderElection election =
                new LeaderElection(
                        settings.timing().leaseMillis(),
                        patience(random.nextLong(ELECTION_SPREAD_MILLIS)),
                        2 * settings.timing().leaseMillis());
        duties =
                new DutyRunner(
                        loop,
                        clock,
                        counted(platform, Purpose.LEADERSHIP),
                        storeHealth,
                        platform.duties(),
                        usage,
                        election,
                        name,
                        life,
                        settings.timing(),
                        random.split(),
                        metrics);
        view.epochNews().tokens(duties::highestToken, duties::tokenReported);
        crashRecords =
                new CrashRecords(
                        loop,
                        clock,
                        counted(platform, Purpose.CRASHES),
                        storeHealth,
                        crashes,
                        duties::leads);
        VersionGate versions = new VersionGate();
        rollouts =
                new RolloutParts(
                        loop,
                        counted(platform, Purpose.ROLLOUTS),
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
                        policies,
                        directory,
                        view::load,
                        limits,
                        engines,
                        metrics,
                        rollouts.manager()::isMoving,
                        mesh::isHub,
                        !settings.node().firstStart());
        memory = memory(settings.limits());
        ServingContext context =
                new ServingContext(
                        loop,
                        clock,
                        platform.protocol(),
                        connector,
                        new ConnectionShares(policies, mesh::size),
                        directory,
                        availability,
                        rests,
                        limits,
                        new UpstreamNotices(
                                loop::nowMillis, directoryKeeper, rests, limits, metrics),
                        loads,
                        new UpstreamSelector(
                                topology,
                                availability,
                                loads,
                                engines,
                                versions,
                                mesh::regionSize,
                                List.of(limits.cost())),
                        quotas,
                        new RetryBudgets(settings.retries(), view::entries),
                        usage,
                        demand,
                        engines,
                        rollouts.manager(),
                        new ReturnTimes(policies, availability, loads, engines, random.split()),
                        metrics,
                        view::oldestDigestMillis,
                        memory,
                        crashes);
        intake = new RequestIntake(context, policies, this::isInformed, random.split());
        crashes.onRefused(request -> loop.execute(() -> intake.stopCrashing(request)));
        callers = new HttpServer(loop, bounds(RequestBounds.DEFAULTS), intake);
        callers.memory(memory.account(), memory);
        memory.unreadAnswers(callers::unreadAnswers);
        if (settings.limits().descriptors() > 0) {
            callers.maxConnections(callerConnections(settings.limits().descriptors()));
        }
        ServerBounds inside = bounds(RequestBounds.DEFAULTS);
        health = new HttpServer(loop, inside, this::answerReady);
        figures = new HttpServer(loop, inside, this::answerFigures);
        PlatformFormat format = platform.format();
        policyWatcher =
                watcher(
                        counted(platform, Purpose.POLICY),
                        random,
                        format.policyKey(),
                        0,
                        new PolicyListener());
        directoryWatcher =
                watcher(
                        counted(platform, Purpose.UPSTREAMS),
                        random,
                        format.upstreamPrefix(),
                        DIRECTORY_PAUSE_MILLIS,
                        directoryKeeper);
        view.onMissedChange(directoryWatcher::relist);
        leaderWatcher =
                watcher(
                        counted(platform, Purpose.LEADERSHIP),
                        random,
                        DutyRunner.LEADER_PREFIX,
                        0,
                        duties);
    }

    /**
     * Starts the process.
     *
     * @throws IOException if it cannot listen
     */
    public void start() throws IOException {
        policies.onChange(this::policyChanged);
        directoryKeeper.onLeaving(this::upstreamLeaves);
        callers.start(settings.listen().callers());
        health.start(settings.listen().health());
        figures.start(settings.listen().metrics());
        mesh.start(settings.listen().peers());
        view.start(mesh, duties::leads);
        loop.repeat(ClusterView.DIGEST_MILLIS, view::tick);
        loop.repeat(FORGET_MILLIS, this::forgetGone);
        loop.repeat(ROLE_MILLIS, this::followStore);
        loop.repeat(STORE_USE_MILLIS, this::logStoreUse);
        loop.repeat(MemoryKeeper.CHECK_MILLIS, memory::tick);
        loop.repeat(CrashWatch.CHECK_INTERVAL_MILLIS, this::lookForCrashes);
        loop.execute(
                () -> {
                    policyWatcher.restart();
                    directoryWatcher.restart();
                    membership.start();
                    duties.start(settings.node().firstStart());
                    fleet.start();
                    rollouts.start();
                    crashRecords.start(settings.node().firstStart());
                });
        loop.start();
        DecisionLog.write(
                new Lifecycle("process", "started", settings.listen().callers().toString()));
        logMemoryBudget();
        settings.notes()
                .forEach(note -> DecisionLog.write(new Lifecycle("settings", "note", note)));
    }

    private void forgetGone() {
        loads.forgetGone(directory);
        rests.forgetGone(directory, loop.nowMillis());
        limits.forgetGone(directory, loop.nowMillis());
    }

    /** Stops the process: it goes on serving until the balancer has left it out. */
    public void stop() {
        loop.execute(this::beginStop);
    }

    /**
     * Takes settings over that have changed.
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

    private TurnOrders turnOrders(String name) {
        return new TurnOrders(
                name, topology, () -> mesh.members(), () -> view.entries(), loop::nowMillis);
    }

    private MemoryKeeper memory(GatewaySettings.Limits limits) {
        MemoryBudget budget =
                MemoryBudget.of(limits.memoryBytes(), Runtime.getRuntime().maxMemory());
        MemoryAccount account = new MemoryAccount(budget);
        return new MemoryKeeper(
                account, new MemoryMetrics(metrics.registry()), loop::nowMillis, loop::execute);
    }

    /** Callers may keep part of the descriptors; the rest is for upstreams, peers and the store. */
    private static int callerConnections(int descriptors) {
        int sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
        return Math.max(1, sockets / CALLERS_OF * CALLERS_PART);
    }

    private void logMemoryBudget() {
        long limit = settings.limits().memoryBytes();
        String told = limit > 0 ? "limit of " + limit + " bytes" : "no limit known";
        String fits = MemoryBudget.fits(limit) ? "" : ", a conservative bound";
        long budget = memory.account().budget().bytes();
        DecisionLog.write(new Lifecycle("memory", "budget", budget + " bytes; " + told + fits));
    }

    /**
     * What hubs tell of roll-outs is not summed up by region, so that where these are ordered all
     * hubs link to each other.
     */
    private Topology linksOf() {
        boolean all = settings.rollouts().ordered() && !topology.isOneRegion();
        if (all) {
            DecisionLog.write(
                    new Lifecycle("regions", "links as in one", "roll-outs are ordered here"));
        }
        return all ? Topology.oneRegion(topology.dataCentre()) : topology;
    }

    /** Where there are several regions, those near the store ask first. */
    private LongSupplier patience(long spreadMillis) {
        long own = ELECTION_PATIENCE_MILLIS + spreadMillis;
        return topology.isOneRegion() ? () -> own : () -> own + storePatience.extraMillis();
    }

    private CoordinationStore counted(PlatformAdapter platform, Purpose purpose) {
        CoordinationStore store = new SameHistoryStore(platform.store(), storeHealth.history());
        return new CountedStore(
                store, storeCalls, purpose, loop::nowMillis, storePatience::answered);
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
        quotas.policy(policy, loop.nowMillis());
        callers.bounds(bounds(policy.bounds()));
    }

    /** A lost upstream says nothing, so streams that have been silent leave it at once. */
    private void upstreamLeaves(Upstream upstream) {
        if (directory.isLeaving(upstream.id())) {
            crashes.announcedLeaving(upstream);
        }
        if (!upstream.draining()) {
            intake.lost(upstream, LOST_SILENT_MILLIS);
            if (!directory.isLeaving(upstream.id())) {
                crashes.upstreamLost(upstream);
            }
        } else if (upstream.leavesMillis() > 0) {
            long notice = Math.max(0, upstream.leavesMillis() - END_MARGIN_MILLIS);
            loop.schedule(notice, () -> intake.moveAway(upstream));
        }
    }

    private boolean isInformed() {
        boolean recordsKnown = (rollouts.isKnown() && crashRecords.isLoaded()) || peersHaveTold();
        return policies.version() > 0 && directoryKeeper.isKnown() && recordsKnown;
    }

    /** What the store does not tell soon after the start is taken from peers. */
    private boolean peersHaveTold() {
        return loop.nowMillis() - startedMillis >= PEERS_FIRST_MILLIS;
    }

    private boolean isReady() {
        return !stopping && (policyWatcher.isComplete() || peersHaveTold()) && isInformed();
    }

    private void answerReady(ServerExchange exchange) {
        exchange.respond(isReady() ? OK : UNAVAILABLE, HeaderList.EMPTY, NO_BYTES);
    }

    private void lookForCrashes() {
        boolean sound = storeHealth.isReachable() && !directoryKeeper.awaitsReappearance();
        crashes.check(directory.all(), sound);
    }

    private void answerFigures(ServerExchange exchange) {
        if (crashPages.handle(exchange)) {
            return;
        }
        tellState();
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, metrics.registry().scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        HeaderList headers = HeaderList.of("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE);
        exchange.respond(OK, headers, text.toByteArray());
    }

    /** What a hub tells in time is not asked of the store as well. */
    private void followStore() {
        boolean before = fed;
        fed = view.isFed(before);
        if (fed != before) {
            String how = fed ? "told by peers" : "followed";
            DecisionLog.write(new Lifecycle("policy and upstreams", how, ""));
        }
        for (StoreWatcher watcher : List.of(policyWatcher, directoryWatcher)) {
            if (fed && watcher.isRunning()) {
                watcher.stop();
            } else if (!fed && !watcher.isRunning()) {
                watcher.restart();
            }
        }
        // a leader, which is a hub, writes records under the revision that it has read itself
        rollouts.follow(fed && !mesh.isHub());
        followLeader();
    }

    /** Hubs alone look after leadership, so that a lost leader is not followed by all at once. */
    private void followLeader() {
        boolean follows = mesh.isHub() && mesh.isPlanned();
        if (follows && !leaderWatcher.isRunning()) {
            leaderWatcher.restart();
        } else if (!follows && leaderWatcher.isRunning()) {
            leaderWatcher.stop();
        }
    }

    private void tellState() {
        regionMetrics.ifPresent(
                figures ->
                        figures.state(
                                mesh::sentBytes,
                                view.regions().ages(loop.nowMillis()),
                                topology.otherRegions(),
                                view.regions().isSpeaking()));
        memory.tellState(callers.refused());
        metrics.list(
                storeHealth.history().epoch(),
                directoryKeeper.revision(),
                directoryKeeper.ageMillis());
        metrics.unusableEntries(directoryKeeper.unusable());
        metrics.resting(rests.count(loop.nowMillis()));
        metrics.limited(limits.count(directory.all()));
        policies.policy()
                .ifPresent(policy -> policy.services().forEach(spec -> tellUpstreams(spec.name())));
        metrics.state(
                policies.version(),
                directory.all().size(),
                view.heardPeers(),
                view.entries(),
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

    private void tellUpstreams(String service) {
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
        callers.closing();
        long begun = loop.nowMillis();
        loop.repeat(STOP_CHECK_MILLIS, () -> checkStopped(begun));
    }

    private void checkStopped(long begunMillis) {
        long since = loop.nowMillis() - begunMillis;
        if (since >= LEAST_DRAIN_MILLIS) {
            callers.stopListening();
            intake.refuseNew();
            callers.closeResting();
        }
        boolean idle = since >= LEAST_DRAIN_MILLIS && callers.open() == 0;
        boolean late = since >= settings.timing().graceMillis() - END_MARGIN_MILLIS;
        if (idle || late) {
            intake.stopAll();
            view.tellPeers();
            membership.stop();
            logStoreUse();
            DecisionLog.write(new Lifecycle("process", "stopped", "after " + since + " ms"));
            loop.schedule(STOP_CHECK_MILLIS, onStopped);
        }
    }

    /** Takes the policy as the store has it. */
    private final class PolicyListener implements StoreWatcher.Listener {
        @Override
        public void listed(List<StoreItem> items, long revision) {
            items.forEach(this::changed);
        }

        @Override
        public void changed(StoreItem item) {
            if (item.gone()) {
                Logger.warn("the policy is gone from the store; the one in force is kept");
            } else {
                policies.offer(item.value(), "store");
            }
        }
    }
}
