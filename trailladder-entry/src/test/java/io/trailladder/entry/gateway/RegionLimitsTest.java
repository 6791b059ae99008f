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
    private static final int OF_EACH = 5;
    private static final double LIMIT = 10_000;
    private static final double USUAL = LIMIT / 1.8;
    private static final long CALM_MILLIS = 10_000;

    /** The processes that carry the sums of the two regions while all is calm. */
    private static final List<String> CARRIERS = List.of("p000", "p002", "p001", "p003");

    private static final List<Consumer<SimulatedCluster>> EVENTS =
            List.of(
                    RegionLimitsTest::carriersRestartInTurn,
                    RegionLimitsTest::carriersFreezeInTurn,
                    RegionLimitsTest::carriersOfARegionAreKilledTogether,
                    RegionLimitsTest::regionsLoseEachOtherForAMoment,
                    RegionLimitsTest::regionsLoseEachOtherForMinutes,
                    RegionLimitsTest::allLosePowerWhileTheRegionsAreApart,
                    RegionLimitsTest::dataCentreOfTheFirstCarrierIsCutOff,
                    RegionLimitsTest::firstCarriersCannotReachEachOther);

    private SimulatedCluster cluster;

    private static void carriersRestartInTurn(SimulatedCluster cluster) {
        for (String name : CARRIERS) {
            cluster.kill(name);
            cluster.pass(800);
            cluster.restart(name);
            cluster.pass(400);
        }
    }

    private static void carriersFreezeInTurn(SimulatedCluster cluster) {
        for (String name : CARRIERS) {
            cluster.freeze(name, true);
            cluster.pass(3_500);
            cluster.freeze(name, false);
            cluster.pass(500);
        }
    }

    private static void carriersOfARegionAreKilledTogether(SimulatedCluster cluster) {
        cluster.kill("p000");
        cluster.kill("p002");
        cluster.pass(6_000);
        cluster.restart("p000");
        cluster.restart("p002");
        cluster.pass(1_000);
    }

    private static void regionsLoseEachOtherForAMoment(SimulatedCluster cluster) {
        cutRegions(cluster, 5_500);
    }

    private static void regionsLoseEachOtherForMinutes(SimulatedCluster cluster) {
        cutRegions(cluster, 120_000);
    }

    private static void cutRegions(SimulatedCluster cluster, long millis) {
        cluster.cut(cluster::isBetweenRegions);
        cluster.pass(millis);
        cluster.cut((one, other) -> false);
        cluster.pass(2_000);
    }

    private static void allLosePowerWhileTheRegionsAreApart(SimulatedCluster cluster) {
        cluster.cut(cluster::isBetweenRegions);
        cluster.pass(3_000);
        cluster.names().forEach(cluster::kill);
        cluster.pass(1_400);
        cluster.names().forEach(cluster::restart);
        cluster.pass(4_000);
        cluster.cut((one, other) -> false);
        cluster.pass(2_000);
    }

    private static void dataCentreOfTheFirstCarrierIsCutOff(SimulatedCluster cluster) {
        List<String> cutOff = cluster.namesOf("dc0");
        cluster.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
        cluster.pass(5_500);
        cluster.cut((one, other) -> false);
        cluster.pass(1_000);
    }

    private static void firstCarriersCannotReachEachOther(SimulatedCluster cluster) {
        cluster.cut((one, other) -> one.equals("p000") && other.equals("p001"));
        cluster.pass(5_500);
        cluster.cut((one, other) -> false);
        cluster.pass(1_000);
    }

    private void begin() {
        cluster = new SimulatedCluster(6, OF_EACH, LIMIT, SimulatedCluster.REGIONS_OF_SIX);
        cluster.pass(CALM_MILLIS);
        cluster.demand(USUAL);
        cluster.pass(CALM_MILLIS);
        assertEquals(0, cluster.refusedSince(0), "refused while all is calm");
    }

    @Example
    void limitIsKeptWhileManyAskInBothRegions() {
        begin();
        cluster.demand(6 * USUAL);
        cluster.pass(20_000);
        double fullest = cluster.fullestWindow();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
        assertTrue(fullest >= 0.8, "the fullest window passed only " + fullest);
    }

    @Property(tries = 8, generation = GenerationMode.EXHAUSTIVE)
    void nobodyWithinTheLimitIsRefusedLongAfterAnEvent(@ForAll @IntRange(max = 7) int event) {
        begin();
        EVENTS.get(event).accept(cluster);
        cluster.pass(SimulatedCluster.WINDOW_MILLIS);
        long since = cluster.now() + 1;
        cluster.pass(SimulatedCluster.WINDOW_MILLIS);
        assertEquals(0, cluster.refusedSince(since));
    }

    @Property(tries = 8, generation = GenerationMode.EXHAUSTIVE)
    void noWindowPassesMoreThanTheLimitAllowsWhileManyAsk(@ForAll @IntRange(max = 7) int event) {
        begin();
        cluster.demand(6 * USUAL);
        cluster.pass(3_000);
        EVENTS.get(event).accept(cluster);
        cluster.pass(SimulatedCluster.WINDOW_MILLIS);
        double fullest = cluster.fullestWindow();
        assertTrue(fullest <= 1, "the fullest window passed " + fullest + " of what is allowed");
    }
}
