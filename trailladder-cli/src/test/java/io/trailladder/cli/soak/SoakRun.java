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
package io.trailladder.cli.soak;

import static io.trailladder.adapter.GatewayRunner.onLoop;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.adapter.PlatformStandIn;
import io.trailladder.cli.soak.FaultProxy.Mode;
import io.trailladder.cli.soak.SoakCaller.NotRun;
import io.trailladder.cli.soak.SoakCaller.Observations;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One seeded run: gateways as processes, upstreams, store and callers round them, and faults from
 * outside until the time is over. What callers and upstreams saw must keep the promises.
 */
final class SoakRun implements AutoCloseable {
    private static final int UPSTREAMS = 4;
    private static final int CALLERS = 6;
    private static final long LEAST_STEP_MILLIS = 150;
    private static final long STEP_MILLIS = 700;
    private static final long LONGEST_FAULT_MILLIS = 2_500;
    private static final long READY_MILLIS = 25_000;
    private static final long SETTLE_MILLIS = 4_500;
    private static final int LAST_CALLS = 30;
    private static final double[] LIMITS = {0.2, 1, 4, 20};
    private static final long RETURNS = 0x5eed;
    private static final long PATHS = 0x9a7f;
    private static final long ORGANISATIONS = 0x0b0e;
    private static final long LONGEST_WAIT_MILLIS = 80;
    private static final long LONGEST_AWAY_MILLIS = 400;
    private static final Mode[] PATH_MODES = {Mode.HANG, Mode.CUT, Mode.REFUSE_NEW};
    private static final Mode[] MODES = {Mode.DELAY, Mode.SILENT, Mode.NO_ANSWERS, Mode.RESET};
    private static final long OLDEST_COPY_MILLIS = 4_000;
    private static final int LOST_WRITES = 200;
    private static final String OTHER_UPSTREAM =
            """
            {"service": "other", "address": "127.0.0.1:1", "zone": "a", "slots": 1,
             "state": "ready", "sequence": %d}
            """;
    private static final long AWAY_MILLIS = 1_200;

    /** Within which time upstreams write themselves again after the store came back. */
    private static final long WRITTEN_AGAIN_MILLIS = 2_000;

    /** When entries lapse that nobody writes again: three heartbeats. */
    private static final long LAPSE_MILLIS = 3_600;

    private static final long SHORTEST_LIMIT_MILLIS = 2_500;
    private static final long LONGEST_LIMIT_MILLIS = 8_000;
    private static final String CONFIG =
            """
            {"version": %d,
             "routes": [
               {"name": "stream", "host": "h.example", "path_prefix": "/stream/",
                "route_type": "streaming", "timeout_ms": 4000, "slo_ms": 800, "service": "m",
                "max_attempts": 3, "sticky": true, "resumable": true},
               {"name": "unsafe", "host": "h.example", "path_prefix": "/unsafe/",
                "route_type": "unsafe", "timeout_ms": 1500, "slo_ms": 200, "service": "m",
                "max_attempts": 2},
               {"name": "safe", "host": "h.example", "path_prefix": "/safe/",
                "route_type": "safe", "timeout_ms": 1500, "slo_ms": 200, "service": "m",
                "max_attempts": 3},
               {"name": "bounded", "host": "127.0.0.1", "path_prefix": "/bounded/",
                "route_type": "unsafe", "timeout_ms": 1500, "slo_ms": 200, "service": "m",
                "max_attempts": 1}],
             "services": [{"name": "m", "max_conns": 400}],
             "tenants": [%s{"name": "t", "api_keys": ["key"]}]}
            """;
    private static final String BOUNDED =
            """
            {"name": "b", "api_keys": ["bounded"], "rate_per_s": 30, "burst": 30},
            """;

    private final long seed;
    private final SplittableRandom random;
    private final EventLoop loop = new EventLoop();
    private final PlatformStandIn platform;
    private final List<SoakGateway> gateways = new ArrayList<>();
    private final List<SoakUpstream> upstreams = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> runs = SoakUpstream.newRuns();
    private final Observations record = new Observations(new RetryCheck(SoakGateway.ALLOWANCE));
    private final StatementCheck statements = new StatementCheck(record.violations);
    private final LimitCheck limits = new LimitCheck(record.violations, statements);
    private final OrganisationLimitCheck organisation = new OrganisationLimitCheck();
    private final SplittableRandom limitRandom;
    private final SplittableRandom returnRandom;
    private final SplittableRandom pathRandom;
    private final SplittableRandom organisationRandom;
    private final List<GatewayPaths> paths = new ArrayList<>();
    private final Set<String> gone = new HashSet<>();
    private final List<String> faults = new ArrayList<>();
    private final Path folder;
    private volatile boolean going = true;
    private volatile String config = "";
    private final StreamCheck streams = new StreamCheck();
    private int version = 1;
    private boolean organisationAway;
    private int upstreamsMade;

    /**
     * What a run came to.
     *
     * @param seed its seed
     * @param asked requests that callers sent
     * @param served those that were served whole
     * @param faults what was done, in order
     * @param violations promises that were broken
     * @param logs folder of the gateways' logs
     */
    record Result(
            long seed,
            int asked,
            int served,
            List<String> faults,
            List<String> violations,
            Path logs) {}

    SoakRun(long seed, int processes) throws Exception {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.limitRandom = new SplittableRandom(~seed);
        this.returnRandom = new SplittableRandom(seed ^ RETURNS);
        this.pathRandom = new SplittableRandom(seed ^ PATHS);
        this.organisationRandom = new SplittableRandom(seed ^ ORGANISATIONS);
        this.folder = Files.createTempDirectory(Path.of("target"), "soak-" + seed + "-");
        loop.start();
        platform = onLoop(loop, () -> new PlatformStandIn(loop));
        onLoop(loop, this::nameEpochs);
        configure();
        for (int i = 0; i < UPSTREAMS; i++) {
            addUpstream();
        }
        for (int i = 0; i < processes; i++) {
            GatewayPaths own = new GatewayPaths();
            paths.add(own);
            HostPort view = onLoop(loop, () -> platform.view(own::view));
            SoakGateway gateway = new SoakGateway("g" + i, folder, view);
            gateway.start(true);
            gateways.add(gateway);
        }
        awaitReady();
    }

    /** Runs faults for some time, then calm, and tells what was seen. */
    Result run(long millis) throws Exception {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            List<HostPort> targets = SoakGateway.callers(gateways);
            SoakCaller caller = new SoakCaller(targets, random.split(), () -> going, record);
            Thread thread = new Thread(caller, "caller-" + i);
            thread.start();
            callers.add(thread);
        }
        Thread surge =
                new Thread(
                        new SoakSurge(
                                SoakGateway.callers(gateways),
                                () -> going,
                                loop::nowMillis,
                                this::isCalmSince,
                                record.violations,
                                this::switchOrganisation),
                        "surge");
        surge.start();
        callers.add(surge);
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            strike();
            limitOne();
            returnStore();
            losePath();
            pause(LEAST_STEP_MILLIS + random.nextLong(STEP_MILLIS));
        }
        long saidUntilMillis = calm();
        boolean ready = awaitReady();
        pause(Math.max(0, saidUntilMillis - loop.nowMillis()));
        going = false;
        for (Thread caller : callers) {
            caller.join();
        }
        if (!ready) {
            record.violations.add(
                    "a gateway was not ready " + READY_MILLIS + " ms after the faults");
        }
        checkRecovered();
        checkDuties();
        pause(SETTLE_MILLIS);
        checkRuns();
        checkUsage();
        checkOrganisationLimit();
        checkRetries();
        checkStreams();
        return new Result(
                seed,
                record.asked.get(),
                record.served.get(),
                faults,
                List.copyOf(record.violations),
                folder);
    }

    @Override
    public void close() throws IOException {
        for (SoakGateway gateway : gateways) {
            gateway.close();
        }
        for (GatewayPaths own : paths) {
            own.close();
        }
        loop.close();
    }

    /** Does one thing from outside; what was stopped or paused before goes on first. */
    private void strike() throws Exception {
        SoakGateway gateway = gateways.get(random.nextInt(gateways.size()));
        SoakUpstream upstream = upstreams.get(random.nextInt(upstreams.size()));
        long forMillis = 200 + random.nextLong(LONGEST_FAULT_MILLIS);
        switch (random.nextInt(12)) {
            case 0 -> {
                note("kill " + index(gateway));
                trouble(gateway);
                gateway.kill();
            }
            case 1 -> {
                note("pause " + index(gateway));
                trouble(gateway);
                gateway.signal("STOP");
            }
            case 2 -> {
                note("term " + index(gateway));
                trouble(gateway);
                gateway.signal("TERM");
            }
            case 3 -> {
                note("hup " + index(gateway));
                gateway.signal("HUP");
            }
            case 4, 5 -> proxied("store of " + index(gateway), gateway.store(), forMillis);
            case 6 -> {
                long afterwards = forMillis + STEP_MILLIS;
                statements.trouble(upstream.id(), loop.nowMillis() + afterwards);
                proxied("upstream " + upstream.id(), upstream.proxy(), forMillis);
            }
            case 7 -> replace(upstream);
            case 8 -> {
                note("config " + (version + 1));
                reconfigure();
            }
            case 9 -> {
                note("history");
                onLoop(loop, () -> forget());
            }
            case 10 -> switched("store down", forMillis, down -> platform.down(down));
            default -> switched("answers lost", forMillis, on -> platform.loseWriteAnswers(on));
        }
        goOn();
    }

    /**
     * Has an upstream name a limit for a while, now and then. It draws from a source of its own, so
     * that a seed has the same other faults with and without it.
     */
    private void limitOne() throws Exception {
        if (limitRandom.nextInt(3) > 0) {
            return;
        }
        SoakUpstream upstream = upstreams.get(limitRandom.nextInt(upstreams.size()));
        double perSecond = LIMITS[limitRandom.nextInt(LIMITS.length)];
        long forMillis = limitRandom.nextLong(SHORTEST_LIMIT_MILLIS, LONGEST_LIMIT_MILLIS);
        note("limit " + perSecond + " of " + upstream.id());
        onLoop(
                loop,
                () -> {
                    upstream.limit(perSecond);
                    loop.schedule(forMillis, () -> upstream.limit(0));
                    return true;
                });
    }

    /**
     * Has a gateway lose its own paths to all upstreams for a while, now and then. It draws from a
     * source of its own, as limits do.
     */
    private void losePath() throws Exception {
        if (pathRandom.nextInt(4) > 0) {
            return;
        }
        int index = pathRandom.nextInt(gateways.size());
        Mode mode = PATH_MODES[pathRandom.nextInt(PATH_MODES.length)];
        long forMillis = 200 + pathRandom.nextLong(LONGEST_FAULT_MILLIS);
        note(mode + " paths of g" + index);
        statements.trouble(
                Integer.toString(gateways.get(index).callers().port()),
                loop.nowMillis() + forMillis + STEP_MILLIS);
        paths.get(index).mode(mode);
        loop.execute(() -> loop.schedule(forMillis, () -> pass(paths.get(index))));
    }

    /**
     * Takes the organisation of the surge away while its requests wait, now and then, and adds it
     * again. It draws from a source of its own, as limits do.
     */
    private void switchOrganisation() {
        if (organisationRandom.nextBoolean()) {
            return;
        }
        try {
            pause(organisationRandom.nextLong(LONGEST_WAIT_MILLIS));
            reconfigure(true);
            pause(organisationRandom.nextLong(LONGEST_AWAY_MILLIS));
        } catch (Exception e) {
            record.violations.add("organisation not taken away: " + e);
        } finally {
            addOrganisation();
        }
    }

    private void addOrganisation() {
        try {
            reconfigure(false);
        } catch (Exception e) {
            record.violations.add("organisation not added again: " + e);
        }
    }

    private synchronized void reconfigure(boolean away) throws Exception {
        organisationAway = away;
        reconfigure();
    }

    private synchronized void reconfigure() throws Exception {
        version++;
        configure();
    }

    private boolean isCalmSince(HostPort callers, long millis) {
        boolean paused =
                gateways.stream()
                        .anyMatch(
                                gateway -> gateway.callers().equals(callers) && gateway.isPaused());
        return !paused && statements.isCalmSince(Integer.toString(callers.port()), "", millis);
    }

    private static void pass(GatewayPaths own) {
        try {
            own.mode(Mode.PASS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Has the store come back from a copy now and then, after a moment away or without one. It
     * draws from a source of its own, as limits do.
     */
    private void returnStore() throws Exception {
        if (returnRandom.nextInt(6) > 0) {
            return;
        }
        long copyMillis = returnRandom.nextLong(OLDEST_COPY_MILLIS);
        long awayMillis = returnRandom.nextBoolean() ? returnRandom.nextLong(AWAY_MILLIS) : 0;
        boolean cutWatches = returnRandom.nextBoolean();
        boolean leaderLapses = returnRandom.nextBoolean();
        SplittableRandom pauses = returnRandom.split();
        note("copy, back after " + copyMillis + " ms, away for " + awayMillis);
        onLoop(
                loop,
                () -> {
                    platform.saveCopy();
                    loop.schedule(copyMillis / 2, () -> writeWhatIsLost(leaderLapses));
                    loop.schedule(copyMillis, () -> platform.down(awayMillis > 0));
                    loop.schedule(copyMillis + awayMillis, () -> comeBack(cutWatches, pauses));
                    return true;
                });
    }

    /** Revisions rise, and a leader may be chosen whose key is not in the copy. */
    private void writeWhatIsLost(boolean leaderLapses) {
        for (int i = 0; i < LOST_WRITES; i++) {
            platform.put("servers/other" + i % 5, OTHER_UPSTREAM.formatted(i));
        }
        if (leaderLapses) {
            platform.remove("trailladder/live/leader");
        }
    }

    private boolean nameEpochs() {
        platform.era(1);
        return true;
    }

    /** What the operator and the upstreams wrote is written again; what nobody writes lapses. */
    private void comeBack(boolean cutWatches, SplittableRandom pauses) {
        platform.restoreCopy(cutWatches);
        platform.down(false);
        loop.schedule(
                pauses.nextLong(WRITTEN_AGAIN_MILLIS), () -> platform.put("op/config", config));
        for (SoakUpstream upstream : upstreams) {
            loop.schedule(pauses.nextLong(WRITTEN_AGAIN_MILLIS), () -> enterAgain(upstream));
        }
        loop.schedule(LAPSE_MILLIS, () -> gone.forEach(id -> platform.remove("servers/" + id)));
    }

    private void enterAgain(SoakUpstream upstream) {
        if (upstreams.contains(upstream)) {
            platform.put("servers/" + upstream.id(), upstream.entry("ready"));
        }
    }

    /** Wakes what is paused and starts what has ended, each with some chance. */
    private void goOn() throws Exception {
        for (SoakGateway gateway : gateways) {
            if (gateway.isPaused() && random.nextInt(2) == 0) {
                trouble(gateway);
                gateway.signal("CONT");
            }
            if (!gateway.isRunning() && random.nextInt(2) == 0) {
                note("start " + index(gateway));
                trouble(gateway);
                gateway.start(false);
            }
        }
    }

    /**
     * Ends all faults, and tells until when gateways may still keep to what upstreams said: if all
     * of them asked for rest or named limits, whoever asks is rightly refused until then.
     */
    private long calm() throws Exception {
        onLoop(
                loop,
                () -> {
                    platform.down(false);
                    platform.loseWriteAnswers(false);
                    return true;
                });
        for (SoakUpstream upstream : upstreams) {
            upstream.proxy().mode(Mode.PASS);
        }
        for (GatewayPaths own : paths) {
            own.mode(Mode.PASS);
        }
        boolean limited = onLoop(loop, limits::isAnyLimited);
        onLoop(
                loop,
                () -> {
                    upstreams.forEach(SoakUpstream::calm);
                    return true;
                });
        for (SoakGateway gateway : gateways) {
            gateway.store().mode(Mode.PASS);
            trouble(gateway);
            gateway.signal("CONT");
        }
        long endsKnownMillis = limited ? loop.nowMillis() + LimitCheck.KNOWN_MILLIS : 0;
        return Math.max(statements.restsUntilMillis(), endsKnownMillis);
    }

    private boolean awaitReady() throws Exception {
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (System.nanoTime() < end) {
            boolean all = true;
            for (SoakGateway gateway : gateways) {
                if (!gateway.isRunning()) {
                    trouble(gateway);
                    gateway.start(false);
                }
                all &= gateway.isReady();
            }
            if (all) {
                return true;
            }
            pause(50);
        }
        return false;
    }

    private void checkRecovered() {
        for (SoakGateway gateway : gateways) {
            SoakCaller caller =
                    new SoakCaller(List.of(gateway.callers()), random.split(), () -> false, record);
            int served = 0;
            for (int i = 0; i < LAST_CALLS; i++) {
                served += caller.call(gateway.callers(), "/safe/", false) ? 1 : 0;
            }
            if (served < LAST_CALLS / 2) {
                record.violations.add(
                        index(gateway) + " served " + served + " of " + LAST_CALLS + " at the end");
            }
        }
    }

    /** Once all is calm a leader's calls are accepted, and every gateway is listed. */
    private void checkDuties() throws Exception {
        int before = onLoop(loop, () -> platform.dutyCalls().size());
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        boolean accepted = false;
        List<String> missing = List.of();
        while (System.nanoTime() < end && !(accepted && missing.isEmpty())) {
            pause(100);
            accepted = onLoop(loop, () -> platform.dutyCalls().size()) > before;
            missing = onLoop(loop, this::notListed);
        }
        if (!accepted) {
            record.violations.add("no duty was accepted for " + READY_MILLIS + " ms at the end");
        }
        if (!missing.isEmpty()) {
            record.violations.add(missing + " are not listed at the end");
        }
    }

    private List<String> notListed() {
        List<String> missing = new ArrayList<>();
        for (SoakGateway gateway : gateways) {
            if (!platform.has("trailladder/live/node/" + index(gateway))) {
                missing.add(index(gateway));
            }
        }
        return missing;
    }

    private void checkRuns() {
        for (String attempt : record.unsafe) {
            int count = runs.getOrDefault(attempt, 0);
            if (count > 1) {
                record.violations.add(attempt + ": not repeatable, ran " + count + " times");
            }
        }
        for (NotRun told : record.notRun) {
            if (runs.containsKey(told.attempt())) {
                record.violations.add(told.attempt() + ": " + told.status() + ", but it ran");
            }
        }
    }

    private void checkRetries() {
        double fullest = record.retries.fullestWindowShare();
        if (fullest > 1) {
            record.violations.add("a window has " + fullest + " of the retries that it allows");
        }
    }

    private void checkOrganisationLimit() {
        if (organisation.fullest() > OrganisationLimitCheck.allowed()) {
            record.violations.add(
                    organisation.fullest()
                            + " requests of the limited organisation ran in a window, "
                            + OrganisationLimitCheck.allowed()
                            + " are allowed");
        }
        if (organisation.fullest() == 0) {
            record.violations.add("no request of the limited organisation ran");
        }
    }

    private void checkUsage() throws Exception {
        Map<Long, JsonNode> byWindow = new HashMap<>();
        for (String call : onLoop(loop, platform::dutyCalls)) {
            if (call.startsWith("/usage ")) {
                JsonNode report = new ObjectMapper().readTree(call.substring("/usage ".length()));
                JsonNode counts = report.path("counts");
                JsonNode before = byWindow.put(report.path("window_id").asLong(), counts);
                if (before != null && !before.equals(counts)) {
                    record.violations.add("two reports of one window: " + before + ", " + report);
                }
            }
        }
    }

    private void proxied(String what, FaultProxy proxy, long forMillis) throws IOException {
        Mode mode = MODES[random.nextInt(MODES.length)];
        note(mode + " " + what);
        proxy.mode(mode);
        loop.execute(() -> loop.schedule(forMillis, () -> pass(proxy)));
    }

    private static void pass(FaultProxy proxy) {
        try {
            proxy.mode(Mode.PASS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void switched(String what, long forMillis, java.util.function.Consumer<Boolean> fault) {
        note(what);
        loop.execute(
                () -> {
                    fault.accept(true);
                    loop.schedule(forMillis, () -> fault.accept(false));
                });
    }

    private void replace(SoakUpstream upstream) throws Exception {
        note("replace " + upstream.id());
        addUpstream();
        upstreams.remove(upstream);
        upstream.leave();
        long untoldMillis = random.nextLong(LONGEST_FAULT_MILLIS);
        onLoop(
                loop,
                () -> {
                    loop.schedule(untoldMillis, () -> enterDraining(upstream));
                    return true;
                });
    }

    /** The store often learns later than callers that an upstream leaves. */
    private void enterDraining(SoakUpstream upstream) {
        platform.put("servers/" + upstream.id(), upstream.entry("draining"));
        loop.schedule(
                LONGEST_FAULT_MILLIS,
                () -> {
                    gone.add(upstream.id());
                    platform.remove("servers/" + upstream.id());
                });
    }

    private void checkStreams() {
        if (streams.joined().size() > StreamCheck.MAX_JOINED) {
            record.violations.addAll(streams.joined());
        }
    }

    private void trouble(SoakGateway gateway) {
        statements.trouble(Integer.toString(gateway.callers().port()), loop.nowMillis());
    }

    private void addUpstream() throws Exception {
        String version = "v" + upstreamsMade / UPSTREAMS;
        String id = "u" + upstreamsMade++;
        SoakUpstream upstream =
                onLoop(
                        loop,
                        () ->
                                new SoakUpstream(
                                        loop,
                                        id,
                                        version,
                                        random.split(),
                                        runs,
                                        statements,
                                        limits,
                                        organisation,
                                        record.retries,
                                        streams));
        onLoop(
                loop,
                () -> {
                    platform.put("servers/" + id, upstream.entry("ready"));
                    return true;
                });
        upstreams.add(upstream);
    }

    private void configure() throws Exception {
        config = CONFIG.formatted(version, organisationAway ? "" : BOUNDED);
        onLoop(
                loop,
                () -> {
                    platform.put("op/config", config);
                    return true;
                });
    }

    private boolean forget() {
        platform.dropHistory();
        return true;
    }

    private String index(SoakGateway gateway) {
        return "g" + gateways.indexOf(gateway);
    }

    private void note(String fault) {
        faults.add(fault);
    }

    private static void pause(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }
}
