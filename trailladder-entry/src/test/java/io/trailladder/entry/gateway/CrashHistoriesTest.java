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
import io.trailladder.core.crash.RequestFingerprint;
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
 * A request that ends every upstream that runs it comes several times a second at any of 30
 * processes, with others beside it, while processes and links fail.
 */
class CrashHistoriesTest {
    private static final int DATA_CENTRES = 3;
    private static final int OF_EACH = 10;
    private static final int OTHERS = 60;
    private static final int BESIDE = 12;
    private static final long COMES_MILLIS = 260;
    private static final long RUNS_MILLIS = 100;

    /** How long a process must have been left alone to count as in touch, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Tries in touch that the platform bears after the third end was known so long. */
    private static final int MOST_LATER = 3;

    private static final RequestFingerprint BAD = new RequestFingerprint(-1);

    private SimulatedCluster cluster = new SimulatedCluster(DATA_CENTRES, OF_EACH, 10_000);
    private final Map<String, Long> troubleMillis = new HashMap<>();
    private final List<Run> running = new ArrayList<>();
    private final Set<Integer> wronglyRefused = new HashSet<>();
    private final SplittableRandom random = new SplittableRandom(20_261_203);
    private long comesMillis;
    private long thirdEndMillis = Long.MAX_VALUE;
    private int ends;
    private int later;
    private int lives;

    /** The bad request runs at an upstream. */
    private record Run(String process, Upstream upstream, long sentMillis) {}

    private static final List<Consumer<CrashHistoriesTest>> EVENTS =
            List.of(
                    CrashHistoriesTest::nothing,
                    CrashHistoriesTest::rollingRestart,
                    CrashHistoriesTest::freeze,
                    CrashHistoriesTest::dataCentreIsCutOff,
                    CrashHistoriesTest::dataCentreLosesPower,
                    CrashHistoriesTest::hubsAreKilled);

    private void nothing() {
        cluster.pass(5_000);
    }

    private void rollingRestart() {
        for (String name : cluster.names()) {
            cluster.kill(name);
            cluster.pass(400);
            cluster.restart(name);
            trouble(List.of(name));
            cluster.pass(200);
        }
    }

    private void freeze() {
        List<String> frozen = cluster.names().stream().filter(n -> n.endsWith("3")).toList();
        frozen.forEach(name -> cluster.freeze(name, true));
        cluster.pass(3_500);
        frozen.forEach(name -> cluster.freeze(name, false));
        trouble(frozen);
    }

    private void dataCentreIsCutOff() {
        List<String> cutOff = cluster.namesOf("dc1");
        cluster.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
        trouble(cluster.names());
        cluster.pass(5_500);
        cluster.cut((one, other) -> false);
        trouble(cluster.names());
    }

    private void dataCentreLosesPower() {
        cluster.namesOf("dc0").forEach(cluster::losePower);
        cluster.pass(600);
        cluster.namesOf("dc0").forEach(cluster::restart);
        trouble(cluster.namesOf("dc0"));
    }

    private void hubsAreKilled() {
        List<String> hubs =
                cluster.names().stream().filter(n -> cluster.process(n).isHub()).toList();
        hubs.forEach(cluster::kill);
        cluster.pass(1_000);
        hubs.forEach(cluster::restart);
        trouble(hubs);
    }

    private void trouble(List<String> names) {
        names.forEach(name -> troubleMillis.put(name, cluster.now()));
    }

    private void begin() {
        cluster.pass(10_000);
        comesMillis = cluster.now();
        cluster.onStep(this::step);
    }

    private void step() {
        long now = cluster.now();
        for (Run run : List.copyOf(running)) {
            if (now - run.sentMillis() >= RUNS_MILLIS) {
                running.remove(run);
                ends(run);
            }
        }
        if (now >= comesMillis) {
            comesMillis = now + COMES_MILLIS;
            comes(anyRunning());
        }
    }

    private String anyRunning() {
        List<String> names =
                cluster.names().stream().filter(n -> cluster.process(n).isRunning()).toList();
        return names.get(random.nextInt(names.size()));
    }

    private static RequestIdentity identity(RequestFingerprint request) {
        return new RequestIdentity(() -> request);
    }

    private void comes(String process) {
        if (cluster.process(process).crashes().refuses("t", identity(BAD))) {
            return;
        }
        boolean inTouch = cluster.now() - troubleMillis.getOrDefault(process, 0L) >= CONTACT_MILLIS;
        if (inTouch && cluster.now() - CONTACT_MILLIS >= thirdEndMillis) {
            later++;
        }
        Upstream upstream = new Upstream("w" + lives++, "s", "dc0", "h:1", 8, false, false, 0);
        running.add(new Run(process, upstream, cluster.now()));
    }

    /** An upstream ends: whoever had a request there sees it, if it runs itself. */
    private void ends(Run run) {
        ends++;
        if (ends == CrashLedger.REFUSAL_MIN_ENDS) {
            thirdEndMillis = cluster.now();
        }
        sees(run.process(), BAD, run.upstream(), cluster.now() - run.sentMillis());
        for (int i = 0; i < BESIDE; i++) {
            int other = random.nextInt(OTHERS);
            RequestFingerprint request = new RequestFingerprint(other);
            String process = anyRunning();
            if (cluster.process(process).crashes().refuses("o", identity(request))) {
                wronglyRefused.add(other);
            } else {
                sees(process, request, run.upstream(), random.nextLong(50, 2_000));
            }
        }
    }

    private void sees(
            String process, RequestFingerprint request, Upstream upstream, long ranMillis) {
        if (cluster.process(process).isRunning()) {
            cluster.process(process).crashes().recordEnd("t", identity(request), upstream, ranMillis);
        }
    }

    private List<String> servedBy(RequestFingerprint request) {
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
    void badRequestIsRefusedByAllInTouchWhateverFails(@ForAll @IntRange(max = 5) int event) {
        begin();
        cluster.pass(1_000);
        EVENTS.get(event).accept(this);
        cluster.pass(10_000);
        System.out.println(
                "event "
                        + event
                        + ": "
                        + ends
                        + " ends, "
                        + later
                        + " later in touch, "
                        + wronglyRefused.size()
                        + " others refused for a while");
        assertTrue(later <= MOST_LATER, later + " tries later, at most " + MOST_LATER);
        assertEquals(List.of(), servedBy(BAD));
    }

    @Property(tries = 6, generation = GenerationMode.EXHAUSTIVE)
    void nobodyWhoStoodBesideIsRefusedInTheEnd(@ForAll @IntRange(max = 5) int event) {
        begin();
        EVENTS.get(event).accept(this);
        cluster.pass(10_000);
        for (int other = 0; other < OTHERS; other++) {
            List<String> serving = servedBy(new RequestFingerprint(other));
            assertEquals(DATA_CENTRES * OF_EACH, serving.size(), "request " + other);
        }
    }

    /** The link between the regions carries sums only, and what is known of such requests. */
    @Example
    void bothRegionsRefuseIt() {
        cluster = new SimulatedCluster(6, OF_EACH / 2, 10_000, SimulatedCluster.REGIONS_OF_SIX);
        begin();
        cluster.pass(12_000);
        System.out.println("two regions: " + ends + " ends, " + later + " later in touch");
        assertTrue(later <= MOST_LATER, later + " tries later, at most " + MOST_LATER);
        assertEquals(List.of(), servedBy(BAD));
    }

    @Example
    void allProcessesAtRestTellLittleOfIt() {
        cluster.pass(10_000);
        long before = cluster.bytes();
        cluster.pass(10_000);
        long usual = cluster.bytes() - before;
        begin();
        cluster.pass(10_000);
        before = cluster.bytes();
        cluster.pass(10_000);
        long more = (cluster.bytes() - before - usual) / (DATA_CENTRES * OF_EACH) / 10;
        System.out.println(usual / 300 + " bytes a second and process, " + more + " more with it");
        assertTrue(more <= 2_000, more + " bytes a second and process more");
    }
}
