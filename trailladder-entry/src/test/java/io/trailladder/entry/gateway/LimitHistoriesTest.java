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

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Whatever happens to the processes that share a limit, a window's length later nobody within the
 * limit is refused, and no window passes more than the limit allows.
 */
class LimitHistoriesTest {
    private static final int DATA_CENTRES = 3;
    private static final int OF_EACH = 10;
    private static final double LIMIT = 10_000;
    private static final double USUAL = LIMIT / 1.8;
    private static final long CALM_MILLIS = 10_000;

    private SimulatedCluster cluster;

    /** The event that changes the limit itself, which the check of windows cannot take. */
    private static final int LIMIT_CHANGES = 6;

    /** What may happen, one of them after the other. */
    private static final List<Consumer<SimulatedCluster>> EVENTS =
            List.of(
                    LimitHistoriesTest::rollingRestartOfADataCentre,
                    LimitHistoriesTest::rollingRestartOfAll,
                    LimitHistoriesTest::freeze,
                    LimitHistoriesTest::allLosePower,
                    LimitHistoriesTest::dataCentreIsCutOff,
                    LimitHistoriesTest::manyRequests,
                    LimitHistoriesTest::limitFallsAndRises,
                    LimitHistoriesTest::entryOfNobody,
                    LimitHistoriesTest::dataCentreLosesPowerForAMoment);

    private static void rollingRestartOfADataCentre(SimulatedCluster cluster) {
        restartOneByOne(cluster, cluster.namesOf("dc0"));
    }

    private static void rollingRestartOfAll(SimulatedCluster cluster) {
        restartOneByOne(cluster, cluster.names());
    }

    private static void restartOneByOne(SimulatedCluster cluster, List<String> names) {
        for (String name : names) {
            cluster.kill(name);
            cluster.pass(800);
            cluster.restart(name);
            cluster.pass(400);
        }
    }

    private static void freeze(SimulatedCluster cluster) {
        List<String> frozen = cluster.names().stream().filter(n -> n.endsWith("3")).toList();
        frozen.forEach(name -> cluster.freeze(name, true));
        cluster.pass(3_500);
        frozen.forEach(name -> cluster.freeze(name, false));
        cluster.pass(500);
    }

    private static void allLosePower(SimulatedCluster cluster) {
        cluster.names().forEach(cluster::kill);
        cluster.pass(1_400);
        cluster.names().forEach(cluster::restart);
        cluster.pass(1_000);
    }

    private static void dataCentreIsCutOff(SimulatedCluster cluster) {
        List<String> cutOff = cluster.namesOf("dc1");
        cluster.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
        cluster.pass(5_500);
        cluster.cut((one, other) -> false);
        cluster.pass(500);
    }

    private static void manyRequests(SimulatedCluster cluster) {
        cluster.demand(6 * USUAL);
        cluster.pass(6_000);
        cluster.demand(USUAL);
    }

    private static void limitFallsAndRises(SimulatedCluster cluster) {
        cluster.limit(LIMIT / 4);
        cluster.pass(4_000);
        cluster.limit(LIMIT);
    }

    private static void entryOfNobody(SimulatedCluster cluster) {
        for (int i = 0; i < DATA_CENTRES * OF_EACH; i++) {
            cluster.ghost("x" + i, "dc2", 6_000);
        }
        cluster.pass(9_000);
    }

    private static void dataCentreLosesPowerForAMoment(SimulatedCluster cluster) {
        cluster.namesOf("dc0").forEach(cluster::losePower);
        cluster.pass(600);
        cluster.namesOf("dc0").forEach(cluster::restart);
        cluster.pass(1_000);
    }

    private void begin() {
        cluster = new SimulatedCluster(DATA_CENTRES, OF_EACH, LIMIT);
        cluster.pass(CALM_MILLIS);
        cluster.demand(USUAL);
        cluster.pass(CALM_MILLIS);
        assertEquals(0, cluster.refusedSince(0), "refused while all is calm");
    }

    /** Tells how many are refused once a window has passed since now. */
    private int refusedAWindowLater() {
        cluster.pass(SimulatedCluster.WINDOW_MILLIS);
        long since = cluster.now() + 1;
        cluster.pass(SimulatedCluster.WINDOW_MILLIS);
        return cluster.refusedSince(since);
    }

    @Property(tries = 9, generation = GenerationMode.EXHAUSTIVE)
    void nobodyWithinTheLimitIsRefusedLongAfterAnEvent(@ForAll @IntRange(max = 8) int event) {
        begin();
        EVENTS.get(event).accept(cluster);
        assertEquals(0, refusedAWindowLater());
    }

    @Property(tries = 12, seed = "20261202", generation = GenerationMode.RANDOMIZED)
    void nobodyWithinTheLimitIsRefusedLongAfterTwoEvents(
            @ForAll @IntRange(max = 8) int first, @ForAll @IntRange(max = 8) int second) {
        begin();
        EVENTS.get(first).accept(cluster);
        EVENTS.get(second).accept(cluster);
        assertEquals(0, refusedAWindowLater());
    }

    @Example
    void hubsOfADataCentreThatRestartInTurnRefuseNobodyWithinTheLimit() {
        begin();
        long since = cluster.now() + 1;
        List<String> hubs = new ArrayList<>(cluster.namesOf("dc0").subList(0, 2));
        restartOneByOne(cluster, hubs);
        cluster.pass(2_000);
        assertEquals(0, cluster.refusedSince(since));
    }

    @Property(tries = 9, generation = GenerationMode.EXHAUSTIVE)
    void noWindowPassesMoreThanTheLimitAllowsWhileManyAsk(@ForAll @IntRange(max = 8) int event) {
        begin();
        cluster.demand(6 * USUAL);
        cluster.pass(3_000);
        if (event != LIMIT_CHANGES) {
            EVENTS.get(event).accept(cluster);
        }
        cluster.pass(SimulatedCluster.WINDOW_MILLIS);
        double fullest = cluster.fullestWindow();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }

    /**
     * Each of a third of the processes is cut off from all others, then one organisation asks much.
     */
    @Example
    void processesCutOffOneByOneDoNotSpendTheWholeBurstEach() {
        begin();
        List<String> single = cluster.names().stream().filter(n -> n.matches(".*[369]")).toList();
        cluster.cut((one, other) -> single.contains(one) || single.contains(other));
        cluster.pass(500);
        cluster.demand(6 * USUAL);
        cluster.pass(12_000);
        double fullest = cluster.fullestWindow();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }

    /** Callers that spread evenly over all processes need no more than the part of each. */
    @Example
    void processesCutOffOneByOneRefuseNobodyWhoIsWithinTheirPart() {
        begin();
        long since = cluster.now() + 1;
        List<String> single = cluster.names().stream().filter(n -> n.matches(".*[369]")).toList();
        cluster.cut((one, other) -> single.contains(one) || single.contains(other));
        cluster.pass(12_000);
        assertEquals(0, cluster.refusedSince(since));
        cluster.cut((one, other) -> false);
        assertEquals(0, refusedAWindowLater());
    }

    /**
     * More than half of a few processes are killed twice within one window while one organisation
     * asks much.
     *
     * <p>Such days passed 0.5 to 6 parts in 100 more than allowed. That does not come about here,
     * where the fullest window stays below 0.95: what is missing is the way from limit to upstream.
     */
    @Property(tries = 8, generation = GenerationMode.EXHAUSTIVE)
    void killsTwiceWithinAWindowDoNotPassMoreThanTheLimitAllows(
            @ForAll @IntRange(max = 7) int steps) {
        cluster = new SimulatedCluster(DATA_CENTRES, 3, LIMIT);
        cluster.pass(CALM_MILLIS);
        cluster.demand(USUAL);
        cluster.pass(CALM_MILLIS);
        cluster.demand(6 * USUAL);
        cluster.pass(1_000);
        for (int kill = 0; kill < 2; kill++) {
            List<String> killed = cluster.names().subList(2 * kill, 2 * kill + 5);
            killed.forEach(cluster::kill);
            cluster.pass(500 + 100 * steps);
            killed.forEach(cluster::restart);
            cluster.pass(3_500 - 100 * steps);
        }
        cluster.pass(SimulatedCluster.WINDOW_MILLIS);
        double fullest = cluster.fullestWindow();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }

    /**
     * Every process grants from what it knows, so that all together let pass what is asked until
     * they have told each other: with digests alone 30,000 units in 200 ms, where 12,000 are
     * allowed and 7,200 tolerated. Two such moments after kills broke the limit over a window.
     */
    @Example
    void surgeIsToldBeforeAllHaveLetPassTheWholeBurst() {
        cluster = new SimulatedCluster(DATA_CENTRES, 3, LIMIT);
        cluster.pass(CALM_MILLIS);
        cluster.demand(15 * LIMIT);
        long begun = cluster.now();
        cluster.pass(ClusterView.DIGEST_INTERVAL_MILLIS);
        double allowed = LIMIT * (1 + ClusterView.DIGEST_INTERVAL_MILLIS / 1_000.0);
        double granted = cluster.grantedSince(begun);
        assertTrue(
                granted <= allowed + SimulatedCluster.TOLERANCE_UNITS,
                granted + " units, " + allowed + " are allowed");
    }
}
