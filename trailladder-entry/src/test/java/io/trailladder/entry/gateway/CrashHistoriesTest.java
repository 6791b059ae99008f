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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.crash.CrashLedger;
import io.trailladder.core.crash.CrashVerdict;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.upstream.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that a request that crashes every upstream that runs it is refused by all processes. It
 * arrives several times a second at any of 30 processes, and other requests run at the same
 * upstreams, while processes and links fail.
 */
class CrashHistoriesTest {
    private static final int DATA_CENTRES = 3;
    private static final int PROCESSES_PER_DATA_CENTRE = 10;
    private static final int OTHER_REQUESTS = 60;
    private static final int CONCURRENT_REQUESTS = 12;
    private static final long ARRIVAL_INTERVAL_MILLIS = 260;
    private static final long RUN_MILLIS = 100;

    /**
     * How long a process and its links must have been without a failure to count as undisturbed, in
     * milliseconds.
     */
    private static final long UNDISTURBED_MILLIS = 3_000;

    /**
     * Maximum number of attempts of undisturbed processes later than {@link #UNDISTURBED_MILLIS}
     * after the third end.
     */
    private static final int MAX_LATE_ATTEMPTS = 3;

    private static final RequestTrait CRASHING = new RequestTrait(-1);

    private SimulatedCluster cluster =
            new SimulatedCluster(DATA_CENTRES, PROCESSES_PER_DATA_CENTRE, 10_000);
    private final Map<String, Long> disturbedMillis = new HashMap<>();
    private final List<Run> running = new ArrayList<>();
    private final Set<Integer> wronglyRefused = new HashSet<>();
    private final SplittableRandom random = new SplittableRandom(20_261_203);
    private long nextArrivalMillis;
    private long thirdEndMillis = Long.MAX_VALUE;
    private int ends;
    private int lateAttempts;
    private int upstreamsStarted;

    /** One run of the crashing request at an upstream. */
    private record Run(String process, Upstream upstream, long sentMillis) {}

    private static final List<Consumer<CrashHistoriesTest>> EVENTS =
            List.of(
                    CrashHistoriesTest::noEvent,
                    CrashHistoriesTest::rollingRestart,
                    CrashHistoriesTest::freeze,
                    CrashHistoriesTest::dataCentreIsCutOff,
                    CrashHistoriesTest::dataCentreLosesPower,
                    CrashHistoriesTest::hubsAreKilled);

    private void noEvent() {
        cluster.advance(5_000);
    }

    private void rollingRestart() {
        for (String name : cluster.names()) {
            cluster.kill(name);
            cluster.advance(400);
            cluster.restart(name);
            markDisturbed(List.of(name));
            cluster.advance(200);
        }
    }

    private void freeze() {
        List<String> frozen = cluster.names().stream().filter(n -> n.endsWith("3")).toList();
        frozen.forEach(name -> cluster.freeze(name, true));
        cluster.advance(3_500);
        frozen.forEach(name -> cluster.freeze(name, false));
        markDisturbed(frozen);
    }

    private void dataCentreIsCutOff() {
        List<String> cutOff = cluster.namesOf("dc1");
        cluster.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
        markDisturbed(cluster.names());
        cluster.advance(5_500);
        cluster.cut((one, other) -> false);
        markDisturbed(cluster.names());
    }

    private void dataCentreLosesPower() {
        cluster.namesOf("dc0").forEach(cluster::losePower);
        cluster.advance(600);
        cluster.namesOf("dc0").forEach(cluster::restart);
        markDisturbed(cluster.namesOf("dc0"));
    }

    private void hubsAreKilled() {
        List<String> hubs =
                cluster.names().stream().filter(n -> cluster.process(n).isHub()).toList();
        hubs.forEach(cluster::kill);
        cluster.advance(1_000);
        hubs.forEach(cluster::restart);
        markDisturbed(hubs);
    }

    private void markDisturbed(List<String> names) {
        names.forEach(name -> disturbedMillis.put(name, cluster.now()));
    }

    private void startRequests() {
        cluster.advance(10_000);
        nextArrivalMillis = cluster.now();
        cluster.onStep(this::step);
    }

    private void step() {
        long now = cluster.now();
        for (Run run : List.copyOf(running)) {
            if (now - run.sentMillis() >= RUN_MILLIS) {
                running.remove(run);
                ends(run);
            }
        }
        if (now >= nextArrivalMillis) {
            nextArrivalMillis = now + ARRIVAL_INTERVAL_MILLIS;
            requestArrives(anyRunning());
        }
    }

    private String anyRunning() {
        List<String> names =
                cluster.names().stream().filter(n -> cluster.process(n).isRunning()).toList();
        return names.get(random.nextInt(names.size()));
    }

    private static RequestIdentity identity(RequestTrait request) {
        return new RequestIdentity(() -> request, Prompt.NONE);
    }

    private void requestArrives(String process) {
        if (cluster.process(process).crashes().refuses("t", identity(CRASHING))) {
            return;
        }
        boolean undisturbed =
                cluster.now() - disturbedMillis.getOrDefault(process, 0L) >= UNDISTURBED_MILLIS;
        if (undisturbed && cluster.now() - UNDISTURBED_MILLIS >= thirdEndMillis) {
            lateAttempts++;
        }
        Upstream upstream =
                new Upstream("w" + upstreamsStarted++, "s", "dc0", "h:1", 8, false, false, 0);
        running.add(new Run(process, upstream, cluster.now()));
    }

    /** Ends an upstream; the processes that had a request there record it if they are running. */
    private void ends(Run run) {
        ends++;
        if (ends == CrashLedger.REFUSAL_MIN_ENDS) {
            thirdEndMillis = cluster.now();
        }
        recordEnd(run.process(), CRASHING, run.upstream(), cluster.now() - run.sentMillis());
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            int other = random.nextInt(OTHER_REQUESTS);
            RequestTrait request = new RequestTrait(other);
            String process = anyRunning();
            if (cluster.process(process).crashes().refuses("o", identity(request))) {
                wronglyRefused.add(other);
            } else {
                recordEnd(process, request, run.upstream(), random.nextLong(50, 2_000));
            }
        }
    }

    private void recordEnd(
            String process, RequestTrait request, Upstream upstream, long ranMillis) {
        if (cluster.process(process).isRunning()) {
            cluster.process(process)
                    .crashes()
                    .recordEnd("t", identity(request), upstream, ranMillis);
        }
    }

    private List<String> processesServing(RequestTrait request) {
        List<String> serving = new ArrayList<>();
        for (String name : cluster.names()) {
            CrashLedger ledger = cluster.process(name).crashes().ledger();
            if (ledger.verdict(request, cluster.now()) != CrashVerdict.REFUSED) {
                serving.add(name);
            }
        }
        return serving;
    }

    @Property(tries = 6, generation = GenerationMode.EXHAUSTIVE)
    void crashingRequestIsRefusedByAllProcessesDespiteFailures(
            @ForAll @IntRange(max = 5) int event) {
        startRequests();
        cluster.advance(1_000);
        EVENTS.get(event).accept(this);
        cluster.advance(10_000);
        System.out.println(
                "event "
                        + event
                        + ": "
                        + ends
                        + " ends, "
                        + lateAttempts
                        + " late attempts at undisturbed processes, "
                        + wronglyRefused.size()
                        + " other requests refused temporarily");
        assertTrue(
                lateAttempts <= MAX_LATE_ATTEMPTS,
                lateAttempts + " late attempts, expected at most " + MAX_LATE_ATTEMPTS);
        assertEquals(List.of(), processesServing(CRASHING));
    }

    @Property(tries = 6, generation = GenerationMode.EXHAUSTIVE)
    void requestsThatRanBesideACrashingOneAreServedInTheEnd(@ForAll @IntRange(max = 5) int event) {
        startRequests();
        EVENTS.get(event).accept(this);
        cluster.advance(10_000);
        for (int other = 0; other < OTHER_REQUESTS; other++) {
            List<String> serving = processesServing(new RequestTrait(other));
            assertEquals(
                    DATA_CENTRES * PROCESSES_PER_DATA_CENTRE, serving.size(), "request " + other);
        }
    }

    /** The link between regions carries only sums and the reports of crashing requests. */
    @Example
    void bothRegionsRefuseTheCrashingRequest() {
        cluster =
                new SimulatedCluster(
                        6, PROCESSES_PER_DATA_CENTRE / 2, 10_000, SimulatedCluster.REGIONS_OF_SIX);
        startRequests();
        cluster.advance(12_000);
        System.out.println(
                "two regions: "
                        + ends
                        + " ends, "
                        + lateAttempts
                        + " late attempts at undisturbed processes");
        assertTrue(
                lateAttempts <= MAX_LATE_ATTEMPTS,
                lateAttempts + " late attempts, expected at most " + MAX_LATE_ATTEMPTS);
        assertEquals(List.of(), processesServing(CRASHING));
    }

    @Example
    void reportsOfACrashingRequestAddLittleTraffic() {
        cluster.advance(10_000);
        long before = cluster.bytes();
        cluster.advance(10_000);
        long usualBytes = cluster.bytes() - before;
        startRequests();
        cluster.advance(10_000);
        before = cluster.bytes();
        cluster.advance(10_000);
        long additional =
                (cluster.bytes() - before - usualBytes)
                        / (DATA_CENTRES * PROCESSES_PER_DATA_CENTRE)
                        / 10;
        System.out.println(
                usualBytes / 300
                        + " bytes per second and process, "
                        + additional
                        + " more with the crashing request");
        assertTrue(additional <= 2_000, additional + " additional bytes per second and process");
    }
}
