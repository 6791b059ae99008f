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

import io.trailladder.adapter.PlatformStandIn;
import io.trailladder.cli.soak.FaultProxy.Mode;
import io.trailladder.cli.soak.SoakCaller.Observations;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * Gateways as processes, with a proxy on the path from each gateway to each upstream: a gateway
 * finds the address of its own proxy in the store's list of upstreams.
 */
final class PathCluster implements AutoCloseable {
    private static final int UPSTREAMS = 5;
    private static final int SERVICES = 2;
    private static final List<PathCaller.Kind> KINDS = List.of(PathCaller.Kind.values());
    private static final long READY_MILLIS = 25_000;
    private static final int WARM_CALLS = 50;
    private static final String CONFIG =
            """
            {"version": 1,
             "routes": [
               {"name": "stream", "host": "h.example", "path_prefix": "/stream/",
                "route_type": "streaming", "timeout_ms": 4000, "slo_ms": 800, "service": "s0",
                "max_attempts": 3, "sticky": true, "resumable": true},
               {"name": "unsafe", "host": "h.example", "path_prefix": "/unsafe/",
                "route_type": "unsafe", "timeout_ms": 1500, "slo_ms": 200, "service": "s1",
                "max_attempts": 2},
               {"name": "safe", "host": "h.example", "path_prefix": "/safe/",
                "route_type": "safe", "timeout_ms": 1500, "slo_ms": 200, "service": "s1",
                "max_attempts": 3}],
             "services": [{"name": "s0", "max_conns": 400}, {"name": "s1", "max_conns": 400}],
             "tenants": [{"name": "t", "api_keys": ["key"]}]}
            """;

    private final EventLoop loop = new EventLoop();
    private final List<SoakUpstream> upstreams = new ArrayList<>();
    private final List<SoakGateway> gateways = new ArrayList<>();
    private final List<GatewayPaths> paths = new ArrayList<>();
    private final Map<String, Integer> runs = SoakUpstream.newRuns();
    private final Observations record;
    private final List<Tally> tallies = new ArrayList<>();
    private final Path folder;
    private final PlatformStandIn platform;
    private final int allowance;

    /**
     * Starts everything, and waits until all gateways are ready.
     *
     * @param dataCentres the data centre of each gateway
     */
    PathCluster(String... dataCentres) throws Exception {
        this(SoakGateway.ALLOWANCE, dataCentres);
    }

    /**
     * Starts everything, and waits until all gateways are ready.
     *
     * @param allowance retries of each service and window that all gateways share, beyond the ratio
     * @param dataCentres the data centre of each gateway
     */
    PathCluster(int allowance, String... dataCentres) throws Exception {
        this.allowance = allowance;
        record = new Observations(new RetryCheck(SERVICES * allowance));
        folder = Files.createTempDirectory(Path.of("target"), "paths-");
        loop.start();
        platform = onLoop(loop, () -> new PlatformStandIn(loop));
        platform.putAndWait("op/config", CONFIG);
        StatementCheck statements = new StatementCheck(record.violations);
        LimitCheck limits = new LimitCheck(record.violations, statements);
        for (int i = 0; i < UPSTREAMS; i++) {
            String id = "u" + i;
            upstreams.add(
                    onLoop(
                            loop,
                            () ->
                                    new SoakUpstream(
                                            loop,
                                            id,
                                            "v0",
                                            new SplittableRandom(0),
                                            runs,
                                            statements,
                                            limits,
                                            new OrganisationLimitCheck(),
                                            record.retries,
                                            new StreamCheck())));
            SoakUpstream upstream = upstreams.get(i);
            upstream.faultless();
            platform.putAndWait("servers/" + id, entry(upstream, i));
        }
        for (int i = 0; i < dataCentres.length; i++) {
            addGateway("g" + i, dataCentres[i]);
        }
        awaitReady();
    }

    private static String entry(SoakUpstream upstream, int index) {
        return String.format(
                "{\"service\": \"s%d\", \"address\": \"%s\", \"zone\": \"a\", \"slots\": 64,"
                        + " \"state\": \"ready\"}",
                index % SERVICES, upstream.proxy().address());
    }

    private void addGateway(String name, String dataCentre) throws Exception {
        GatewayPaths own = new GatewayPaths();
        paths.add(own);
        HostPort view = onLoop(loop, () -> platform.view(own::view));
        SoakGateway gateway = new SoakGateway(name, dataCentre, folder, view, allowance);
        gateway.start(true);
        gateways.add(gateway);
    }

    /** Waits until all gateways are ready. */
    void awaitAllReady() throws Exception {
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        for (SoakGateway gateway : gateways) {
            while (!gateway.isReady()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException("a gateway is not ready; logs: " + folder);
                }
                Thread.sleep(50);
            }
        }
    }

    private void awaitReady() throws Exception {
        awaitAllReady();
        // so that all processes are known to each other
        Thread.sleep(2_000);
    }

    SoakGateway gateway(int index) {
        return gateways.get(index);
    }

    RetryCheck retries() {
        return record.retries;
    }

    /** Has all upstreams fail every request, or none. */
    void upstreamsFail(boolean now) throws Exception {
        onLoop(
                loop,
                () -> {
                    upstreams.forEach(upstream -> upstream.failing(now));
                    return true;
                });
    }

    PlatformStandIn platform() {
        return platform;
    }

    EventLoop loop() {
        return loop;
    }

    Path folder() {
        return folder;
    }

    /** Has the links of one gateway to all upstreams do something. */
    void links(int gateway, Mode mode) throws IOException {
        paths.get(gateway).mode(mode);
    }

    /** Has the links of one gateway to some upstreams do something. */
    void links(int gateway, List<Integer> some, Mode mode) throws IOException {
        for (int upstream : some) {
            paths.get(gateway).mode(upstreams.get(upstream).proxy().address().toString(), mode);
        }
    }

    /** Returns what was seen that breaks a promise, also by upstreams. */
    List<String> violations() {
        List<String> broken = new ArrayList<>(record.violations);
        for (String attempt : record.unsafe) {
            if (runs.getOrDefault(attempt, 0) > 1) {
                broken.add(attempt + ": not repeatable, ran " + runs.get(attempt) + " times");
            }
        }
        for (SoakCaller.NotRun told : record.notRun) {
            if (runs.containsKey(told.attempt())) {
                broken.add(told.attempt() + ": " + told.status() + ", but it ran");
            }
        }
        return broken;
    }

    /**
     * Has callers use all gateways while a task runs, and counts the tries that begin after it said
     * so, and those of the others.
     *
     * @param threads number of callers of each kind of request at each gateway
     * @param pauseMillis pause of a caller between two requests, in milliseconds
     * @param faults runs while callers call
     * @param counting tells whether tries that begin now count
     * @return one tally for each gateway
     */
    List<Tally> callWhile(int threads, long pauseMillis, Faults faults, BooleanSupplier counting)
            throws Exception {
        tallies.clear();
        List<Thread> callers = new ArrayList<>();
        AtomicBoolean going = new AtomicBoolean(true);
        for (int i = 0; i < gateways.size(); i++) {
            Tally tally = new Tally();
            tallies.add(tally);
            HostPort target = gateways.get(i).callers();
            for (int kind = 0; kind < KINDS.size() * threads; kind++) {
                SplittableRandom random = new SplittableRandom(31L * i + kind);
                PathCaller caller =
                        new PathCaller(
                                new SoakCaller(List.of(target), random, () -> false, record),
                                target,
                                KINDS.get(kind % KINDS.size()),
                                pauseMillis,
                                tally,
                                going,
                                counting);
                Thread thread = new Thread(caller);
                thread.start();
                callers.add(thread);
            }
        }
        try {
            faults.run();
        } finally {
            going.set(false);
            for (Thread caller : callers) {
                caller.join();
            }
        }
        return tallies;
    }

    /**
     * Waits until each gateway has had a number of fast plain calls in a row, so that what is
     * checked does not depend on how long the machine takes to compile the code of new processes.
     */
    void awaitWarm() throws InterruptedException {
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (System.nanoTime() < end
                && !tallies.stream().allMatch(tally -> tally.mostFastCalls() >= WARM_CALLS)) {
            Thread.sleep(50);
        }
    }

    /** Waits until so many tries are counted at each gateway that runs. */
    void awaitTries(int count) throws InterruptedException {
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        for (int i = 0; i < gateways.size(); i++) {
            while (gateways.get(i).isRunning() && tallies.get(i).asked() < count) {
                if (System.nanoTime() > end) {
                    return;
                }
                Thread.sleep(50);
            }
        }
    }

    /** Strikes the cluster. */
    interface Faults {
        void run() throws Exception;
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
}
