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
    private static final int PROCESSES_PER_DATA_CENTRE = 10;
    private static final double LIMIT_PER_SECOND = 10_000;
    private static final double USUAL_DEMAND_PER_SECOND = LIMIT_PER_SECOND / 1.8;
    private static final long SETTLE_MILLIS = 10_000;

    private SimulatedCluster cluster;

    /** The event that changes the limit itself, which the check of windows cannot take. */
    private static final int LIMIT_CHANGE_EVENT = 6;

    /** What may happen, one of them after the other. */
    private static final List<Consumer<SimulatedCluster>> EVENTS =
            List.of(
                    LimitHistoriesTest::rollingRestartOfADataCentre,
                    LimitHistoriesTest::rollingRestartOfAll,
                    LimitHistoriesTest::freeze,
                    LimitHistoriesTest::allAreKilled,
                    LimitHistoriesTest::dataCentreIsCutOff,
                    LimitHistoriesTest::demandSurges,
                    LimitHistoriesTest::limitFallsAndRises,
                    LimitHistoriesTest::entriesWithoutProcesses,
                    LimitHistoriesTest::dataCentreLosesPowerBriefly);

    private static void rollingRestartOfADataCentre(SimulatedCluster cluster) {
        restartOneByOne(cluster, cluster.namesOf("dc0"));
    }

    private static void rollingRestartOfAll(SimulatedCluster cluster) {
        restartOneByOne(cluster, cluster.names());
    }

    private static void restartOneByOne(SimulatedCluster cluster, List<String> names) {
        for (String name : names) {
            cluster.kill(name);
            cluster.advance(800);
            cluster.restart(name);
            cluster.advance(400);
        }
    }

    private static void freeze(SimulatedCluster cluster) {
        List<String> frozen = cluster.names().stream().filter(n -> n.endsWith("3")).toList();
        frozen.forEach(name -> cluster.freeze(name, true));
        cluster.advance(3_500);
        frozen.forEach(name -> cluster.freeze(name, false));
        cluster.advance(500);
    }

    private static void allAreKilled(SimulatedCluster cluster) {
        cluster.names().forEach(cluster::kill);
        cluster.advance(1_400);
        cluster.names().forEach(cluster::restart);
        cluster.advance(1_000);
    }

    private static void dataCentreIsCutOff(SimulatedCluster cluster) {
        List<String> cutOff = cluster.namesOf("dc1");
        cluster.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
        cluster.advance(5_500);
        cluster.cut((one, other) -> false);
        cluster.advance(500);
    }

    private static void demandSurges(SimulatedCluster cluster) {
        cluster.demand(6 * USUAL_DEMAND_PER_SECOND);
        cluster.advance(6_000);
        cluster.demand(USUAL_DEMAND_PER_SECOND);
    }

    private static void limitFallsAndRises(SimulatedCluster cluster) {
        cluster.limit(LIMIT_PER_SECOND / 4);
        cluster.advance(4_000);
        cluster.limit(LIMIT_PER_SECOND);
    }

    private static void entriesWithoutProcesses(SimulatedCluster cluster) {
        for (int i = 0; i < DATA_CENTRES * PROCESSES_PER_DATA_CENTRE; i++) {
            cluster.addEntryWithoutProcess("x" + i, "dc2", 6_000);
        }
        cluster.advance(9_000);
    }

    private static void dataCentreLosesPowerBriefly(SimulatedCluster cluster) {
        cluster.namesOf("dc0").forEach(cluster::losePower);
        cluster.advance(600);
        cluster.namesOf("dc0").forEach(cluster::restart);
        cluster.advance(1_000);
    }

    private void startWithUsualDemand() {
        cluster = new SimulatedCluster(DATA_CENTRES, PROCESSES_PER_DATA_CENTRE, LIMIT_PER_SECOND);
        cluster.advance(SETTLE_MILLIS);
        cluster.demand(USUAL_DEMAND_PER_SECOND);
        cluster.advance(SETTLE_MILLIS);
        assertEquals(0, cluster.refusedSince(0), "refused while all is calm");
    }

    /** Tells how many are refused once a window has passed since now. */
    private int refusedAWindowLater() {
        cluster.advance(SimulatedCluster.WINDOW_MILLIS);
        long since = cluster.now() + 1;
        cluster.advance(SimulatedCluster.WINDOW_MILLIS);
        return cluster.refusedSince(since);
    }

    @Property(tries = 9, generation = GenerationMode.EXHAUSTIVE)
    void requestsWithinTheLimitAreServedAWindowAfterAnEvent(@ForAll @IntRange(max = 8) int event) {
        startWithUsualDemand();
        EVENTS.get(event).accept(cluster);
        assertEquals(0, refusedAWindowLater());
    }

    @Property(tries = 12, seed = "20261202", generation = GenerationMode.RANDOMIZED)
    void requestsWithinTheLimitAreServedAWindowAfterTwoEvents(
            @ForAll @IntRange(max = 8) int first, @ForAll @IntRange(max = 8) int second) {
        startWithUsualDemand();
        EVENTS.get(first).accept(cluster);
        EVENTS.get(second).accept(cluster);
        assertEquals(0, refusedAWindowLater());
    }

    @Example
    void hubsThatRestartOneByOneRefuseNothingWithinTheLimit() {
        startWithUsualDemand();
        long since = cluster.now() + 1;
        List<String> hubs = new ArrayList<>(cluster.namesOf("dc0").subList(0, 2));
        restartOneByOne(cluster, hubs);
        cluster.advance(2_000);
        assertEquals(0, cluster.refusedSince(since));
    }

    @Property(tries = 9, generation = GenerationMode.EXHAUSTIVE)
    void noWindowExceedsTheLimitUnderHighDemand(@ForAll @IntRange(max = 8) int event) {
        startWithUsualDemand();
        cluster.demand(6 * USUAL_DEMAND_PER_SECOND);
        cluster.advance(3_000);
        if (event != LIMIT_CHANGE_EVENT) {
            EVENTS.get(event).accept(cluster);
        }
        cluster.advance(SimulatedCluster.WINDOW_MILLIS);
        double fullest = cluster.fullestWindowShare();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }

    /**
     * Each of a third of the processes is cut off from all others, then one organisation asks much.
     */
    @Example
    void isolatedProcessesDoNotEachSpendTheWholeBurst() {
        startWithUsualDemand();
        List<String> single = cluster.names().stream().filter(n -> n.matches(".*[369]")).toList();
        cluster.cut((one, other) -> single.contains(one) || single.contains(other));
        cluster.advance(500);
        cluster.demand(6 * USUAL_DEMAND_PER_SECOND);
        cluster.advance(12_000);
        double fullest = cluster.fullestWindowShare();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }

    /** Callers that spread evenly over all processes need no more than the part of each. */
    @Example
    void isolatedProcessesRefuseNothingWithinTheirShare() {
        startWithUsualDemand();
        long since = cluster.now() + 1;
        List<String> single = cluster.names().stream().filter(n -> n.matches(".*[369]")).toList();
        cluster.cut((one, other) -> single.contains(one) || single.contains(other));
        cluster.advance(12_000);
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
    void twoKillsWithinAWindowDoNotExceedTheLimit(
            @ForAll @IntRange(max = 7) int steps) {
        cluster = new SimulatedCluster(DATA_CENTRES, 3, LIMIT_PER_SECOND);
        cluster.advance(SETTLE_MILLIS);
        cluster.demand(USUAL_DEMAND_PER_SECOND);
        cluster.advance(SETTLE_MILLIS);
        cluster.demand(6 * USUAL_DEMAND_PER_SECOND);
        cluster.advance(1_000);
        for (int kill = 0; kill < 2; kill++) {
            List<String> killed = cluster.names().subList(2 * kill, 2 * kill + 5);
            killed.forEach(cluster::kill);
            cluster.advance(500 + 100 * steps);
            killed.forEach(cluster::restart);
            cluster.advance(3_500 - 100 * steps);
        }
        cluster.advance(SimulatedCluster.WINDOW_MILLIS);
        double fullest = cluster.fullestWindowShare();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }

    /**
     * Every process grants from what it knows, so that all together let pass what is asked until
     * they have told each other: with digests alone 30,000 units in 200 ms, where 12,000 are
     * allowed and 7,200 tolerated. Two such moments after kills broke the limit over a window.
     */
    @Example
    void surgeIsReportedBeforeAllProcessesGrantTheWholeBurst() {
        cluster = new SimulatedCluster(DATA_CENTRES, 3, LIMIT_PER_SECOND);
        cluster.advance(SETTLE_MILLIS);
        cluster.demand(15 * LIMIT_PER_SECOND);
        long begun = cluster.now();
        cluster.advance(ClusterView.DIGEST_INTERVAL_MILLIS);
        double allowed = LIMIT_PER_SECOND * (1 + ClusterView.DIGEST_INTERVAL_MILLIS / 1_000.0);
        double granted = cluster.grantedSince(begun);
        assertTrue(
                granted <= allowed + SimulatedCluster.TOLERANCE_UNITS,
                granted + " units, " + allowed + " are allowed");
    }
}
