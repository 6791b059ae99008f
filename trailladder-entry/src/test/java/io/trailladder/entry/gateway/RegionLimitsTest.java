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

import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Limits over two regions of three data centres each, whatever happens to those who carry their
 * sums: a window's length later nobody within the limit is refused, and no window passes more than
 * the limit allows.
 */
class RegionLimitsTest {
    private static final int PROCESSES_PER_DATA_CENTRE = 5;
    private static final double LIMIT_PER_SECOND = 10_000;
    private static final double USUAL_DEMAND_PER_SECOND = LIMIT_PER_SECOND / 1.8;
    private static final long SETTLE_MILLIS = 10_000;

    /** The processes that carry the sums of the two regions while all is calm. */
    private static final List<String> BRIDGES = List.of("p000", "p002", "p001", "p003");

    private static final List<Consumer<SimulatedCluster>> EVENTS =
            List.of(
                    RegionLimitsTest::bridgesRestartOneByOne,
                    RegionLimitsTest::bridgesFreezeOneByOne,
                    RegionLimitsTest::bridgesOfARegionAreKilledTogether,
                    RegionLimitsTest::regionsAreDisconnectedBriefly,
                    RegionLimitsTest::regionsAreDisconnectedForMinutes,
                    RegionLimitsTest::allAreKilledWhileTheRegionsAreDisconnected,
                    RegionLimitsTest::dataCentreOfTheFirstBridgeIsCutOff,
                    RegionLimitsTest::firstBridgesCannotReachEachOther);

    private SimulatedCluster cluster;

    private static void bridgesRestartOneByOne(SimulatedCluster cluster) {
        for (String name : BRIDGES) {
            cluster.kill(name);
            cluster.advance(800);
            cluster.restart(name);
            cluster.advance(400);
        }
    }

    private static void bridgesFreezeOneByOne(SimulatedCluster cluster) {
        for (String name : BRIDGES) {
            cluster.freeze(name, true);
            cluster.advance(3_500);
            cluster.freeze(name, false);
            cluster.advance(500);
        }
    }

    private static void bridgesOfARegionAreKilledTogether(SimulatedCluster cluster) {
        cluster.kill("p000");
        cluster.kill("p002");
        cluster.advance(6_000);
        cluster.restart("p000");
        cluster.restart("p002");
        cluster.advance(1_000);
    }

    private static void regionsAreDisconnectedBriefly(SimulatedCluster cluster) {
        cutRegions(cluster, 5_500);
    }

    private static void regionsAreDisconnectedForMinutes(SimulatedCluster cluster) {
        cutRegions(cluster, 120_000);
    }

    private static void cutRegions(SimulatedCluster cluster, long millis) {
        cluster.cut(cluster::isBetweenRegions);
        cluster.advance(millis);
        cluster.cut((one, other) -> false);
        cluster.advance(2_000);
    }

    private static void allAreKilledWhileTheRegionsAreDisconnected(SimulatedCluster cluster) {
        cluster.cut(cluster::isBetweenRegions);
        cluster.advance(3_000);
        cluster.names().forEach(cluster::kill);
        cluster.advance(1_400);
        cluster.names().forEach(cluster::restart);
        cluster.advance(4_000);
        cluster.cut((one, other) -> false);
        cluster.advance(2_000);
    }

    private static void dataCentreOfTheFirstBridgeIsCutOff(SimulatedCluster cluster) {
        List<String> cutOff = cluster.namesOf("dc0");
        cluster.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
        cluster.advance(5_500);
        cluster.cut((one, other) -> false);
        cluster.advance(1_000);
    }

    private static void firstBridgesCannotReachEachOther(SimulatedCluster cluster) {
        cluster.cut((one, other) -> one.equals("p000") && other.equals("p001"));
        cluster.advance(5_500);
        cluster.cut((one, other) -> false);
        cluster.advance(1_000);
    }

    private void startWithUsualDemand() {
        cluster = new SimulatedCluster(6, PROCESSES_PER_DATA_CENTRE, LIMIT_PER_SECOND, SimulatedCluster.REGIONS_OF_SIX);
        cluster.advance(SETTLE_MILLIS);
        cluster.demand(USUAL_DEMAND_PER_SECOND);
        cluster.advance(SETTLE_MILLIS);
        assertEquals(0, cluster.refusedSince(0), "refused while all is calm");
    }

    @Example
    void limitIsKeptUnderHighDemandInBothRegions() {
        startWithUsualDemand();
        cluster.demand(6 * USUAL_DEMAND_PER_SECOND);
        cluster.advance(20_000);
        double fullest = cluster.fullestWindowShare();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
        assertTrue(fullest >= 0.8, "the fullest window passed only " + fullest);
    }

    @Property(tries = 8, generation = GenerationMode.EXHAUSTIVE)
    void requestsWithinTheLimitAreServedAWindowAfterAnEvent(@ForAll @IntRange(max = 7) int event) {
        startWithUsualDemand();
        EVENTS.get(event).accept(cluster);
        cluster.advance(SimulatedCluster.WINDOW_MILLIS);
        long since = cluster.now() + 1;
        cluster.advance(SimulatedCluster.WINDOW_MILLIS);
        assertEquals(0, cluster.refusedSince(since));
    }

    @Property(tries = 8, generation = GenerationMode.EXHAUSTIVE)
    void noWindowExceedsTheLimitUnderHighDemand(@ForAll @IntRange(max = 7) int event) {
        startWithUsualDemand();
        cluster.demand(6 * USUAL_DEMAND_PER_SECOND);
        cluster.advance(3_000);
        EVENTS.get(event).accept(cluster);
        cluster.advance(SimulatedCluster.WINDOW_MILLIS);
        double fullest = cluster.fullestWindowShare();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }
}
