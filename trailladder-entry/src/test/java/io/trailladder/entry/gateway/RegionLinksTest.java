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

import io.trailladder.core.upstream.LeavingUpstream;
import io.trailladder.core.upstream.Upstream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * What processes of two regions know of each other over links in two levels, in virtual time: 12 to
 * 96 processes in six data centres, a message takes 20 ms.
 */
class RegionLinksTest {
    private static final double LIMIT_PER_SECOND = 10_000;
    private static final Map<String, String> REGIONS = SimulatedCluster.REGIONS_OF_SIX;
    private static final long SETTLE_MILLIS = 8_000;

    private static SimulatedCluster settled(int ofEach, Map<String, String> regions) {
        SimulatedCluster cluster = new SimulatedCluster(6, ofEach, LIMIT_PER_SECOND, regions);
        cluster.advance(SETTLE_MILLIS);
        return cluster;
    }

    private static void addToAll(SimulatedCluster cluster, Upstream upstream) {
        cluster.names().forEach(name -> cluster.process(name).upstreams().changed(upstream));
    }

    private static List<String> processesUnawareOfLeaving(SimulatedCluster cluster, String upstream) {
        return cluster.names().stream()
                .filter(name -> cluster.process(name).isRunning())
                .filter(name -> !cluster.process(name).upstreams().isLeaving(upstream))
                .toList();
    }

    private static void assertAllReceiveFrom(SimulatedCluster cluster, int processes) {
        for (String name : cluster.names()) {
            if (cluster.process(name).isRunning()) {
                assertEquals(processes, cluster.process(name).view().totalProcesses(), name);
            }
        }
    }

    @Property(tries = 4, seed = "20261203")
    void everyProcessIsCountedOnceByEveryOther(@ForAll @IntRange(min = 2, max = 16) int ofEach) {
        assertAllReceiveFrom(settled(ofEach, REGIONS), 6 * ofEach);
    }

    @Example
    void trafficBetweenRegionsIsSmallAndDoesNotGrowWithTheProcesses() {
        long few = bytesPerSecond(2, REGIONS);
        long many = bytesPerSecond(12, REGIONS);
        long without = bytesPerSecond(12, Map.of());
        String seen = few + " of 12, " + many + " of 72, " + without + " of 72 without levels";
        assertTrue(many < 60_000, seen);
        assertTrue(many < 2 * few + 1_000, seen);
        assertTrue(many < without / 4, seen);
    }

    private static long bytesPerSecond(int ofEach, Map<String, String> regions) {
        SimulatedCluster cluster = settled(ofEach, regions);
        cluster.demand(LIMIT_PER_SECOND / 2);
        cluster.advance(2_000);
        long before = cluster.bytesBetweenRegions();
        cluster.advance(10_000);
        return (cluster.bytesBetweenRegions() - before) / 10;
    }

    /**
     * The load of 72 processes: 480 requests a second of 16 organisations that begin to run, and 63
     * upstreams that every process has work at.
     */
    @Example
    void trafficBetweenRegionsStaysSmallUnderTheLoadOfManyOrganisationsAndUpstreams() {
        SimulatedCluster cluster = settled(12, REGIONS);
        for (int i = 0; i < 63; i++) {
            addToAll(cluster, new Upstream("w" + i, "s", "dc" + i % 6, "h:1", 8, false, false, 0));
        }
        cluster.demand(LIMIT_PER_SECOND / 2);
        long begun = 0;
        for (int step = 0; step < 600; step++) {
            begun = step == 100 ? cluster.bytesBetweenRegions() : begun;
            applyLoad(cluster, step);
            cluster.advance(20);
        }
        long aSecond = (cluster.bytesBetweenRegions() - begun) / 10;
        assertTrue(aSecond < 2 * 60_000, aSecond + " bytes a second, both ways together");
    }

    /** Ten requests begin to run, and each process sends one to another upstream. */
    private static void applyLoad(SimulatedCluster cluster, int step) {
        List<String> names = cluster.names();
        for (int i = 0; i < 10; i++) {
            String name = names.get((step * 10 + i) % names.size());
            cluster.process(name).usage().started("organisation-" + (step + i) % 16, step * 20L);
        }
        for (int i = 0; i < names.size(); i++) {
            cluster.process(names.get(i)).loads().sent("w" + (step + i) % 63, 1_000);
        }
    }

    @Example
    void upstreamThatLeavesIsKnownInTheOtherRegionWithinHalfASecond() {
        SimulatedCluster cluster = settled(12, REGIONS);
        addToAll(cluster, new Upstream("w", "s", "dc0", "h:1", 8, false, false, 0));
        List<String> north = cluster.namesOf("dc2");
        cluster.process(north.get(north.size() - 1))
                .directory()
                .leavingReportedBy(new LeavingUpstream("w", 0), "itself");
        cluster.advance(500);
        assertEquals(List.of(), processesUnawareOfLeaving(cluster, "w"));
    }

    @Example
    void upstreamThatLeavesIsKnownWithinTwoSecondsAfterTheLossOfBothBridgesOfARegion() {
        SimulatedCluster cluster = settled(12, REGIONS);
        addToAll(cluster, new Upstream("w", "s", "dc0", "h:1", 8, false, false, 0));
        cluster.kill("p000");
        cluster.kill("p002");
        List<String> north = cluster.namesOf("dc4");
        cluster.process(north.get(north.size() - 1))
                .directory()
                .leavingReportedBy(new LeavingUpstream("w", 0), "itself");
        cluster.advance(2_000);
        assertEquals(List.of(), processesUnawareOfLeaving(cluster, "w"));
    }

    @Example
    void policyVersionOfOneProcessIsKnownEverywhereWithinASecond() {
        SimulatedCluster cluster = settled(12, REGIONS);
        String leaf = cluster.namesOf("dc5").get(11);
        for (int version = 1; version <= 3; version++) {
            byte[] value = Integer.toString(version).getBytes(StandardCharsets.US_ASCII);
            cluster.process(leaf).policies().offer(value, "store");
            cluster.advance(1_000);
            for (String name : cluster.names()) {
                assertEquals(version, cluster.process(name).policies().version(), name);
            }
        }
    }

    @Example
    void bridgeThatLosesPowerIsReplacedWithinOnePointTwoSeconds() {
        SimulatedCluster cluster = settled(12, REGIONS);
        cluster.losePower("p000");
        cluster.advance(1_200);
        for (String name : cluster.namesOf("dc1")) {
            int heard = cluster.process(name).view().totalProcesses();
            assertTrue(heard >= 36 + 24, name + " hears " + heard);
        }
        cluster.advance(10_000);
        assertAllReceiveFrom(cluster, 71);
    }

    @Example
    void disconnectedRegionsStayConnectedInternallyAndReconnect() {
        SimulatedCluster cluster = settled(6, REGIONS);
        cluster.cut(cluster::isBetweenRegions);
        cluster.advance(3_000);
        assertAllReceiveFrom(cluster, 18);
        cluster.advance(60_000);
        assertAllReceiveFrom(cluster, 18);
        cluster.cut((one, other) -> false);
        cluster.advance(2_000);
        assertAllReceiveFrom(cluster, 36);
    }

    @Example
    void firstHubThatCannotReachTheOtherRegionIsReplaced() {
        SimulatedCluster cluster = settled(6, REGIONS);
        List<String> apart = cluster.namesOf("dc0");
        cluster.cut((one, other) -> apart.contains(one) && cluster.isBetweenRegions(one, other));
        cluster.advance(4_000);
        assertAllReceiveFrom(cluster, 36);
        cluster.cut((one, other) -> false);
        cluster.advance(4_000);
        assertAllReceiveFrom(cluster, 36);
    }

    @Example
    void leafThatReachesNoProcessOfItsRegionIsConnectedThroughTheOther() {
        SimulatedCluster cluster = settled(4, REGIONS);
        String leaf = cluster.namesOf("dc5").get(3);
        cluster.cut((one, other) -> one.equals(leaf) && !cluster.isBetweenRegions(one, other));
        cluster.advance(40_000);
        assertAllReceiveFrom(cluster, 24);
    }

    @Example
    void usageIsCountedOnceAtEveryHub() {
        SimulatedCluster cluster = settled(6, REGIONS);
        for (String name : cluster.names()) {
            cluster.process(name).usage().started("t", 1_000);
        }
        cluster.advance(1_600);
        cluster.kill("p000");
        cluster.process("p035").usage().started("t", 1_000);
        cluster.advance(3_000);
        for (String name : cluster.names()) {
            if (cluster.process(name).isRunning() && cluster.process(name).isHub()) {
                assertEquals(Map.of("t", 37), cluster.process(name).usage().total(0), name);
            }
        }
    }

    @Example
    void loadOfAnotherRegionIsCountedOnceWhenItsBridgeChanges() {
        SimulatedCluster cluster = settled(6, REGIONS);
        addToAll(cluster, new Upstream("n1", "s", "dc0", "h:1", 8, false, false, 0));
        addToAll(cluster, new Upstream("n2", "s", "dc2", "h:1", 8, false, false, 0));
        addToAll(cluster, new Upstream("m", "s", "dc1", "h:1", 8, false, false, 0));
        for (String name : cluster.namesOf("dc2")) {
            cluster.process(name).loads().sent("n1", 100);
        }
        cluster.process(cluster.namesOf("dc2").get(3)).loads().sent("m", 10);
        cluster.advance(2_000);
        assertLoads(cluster);
        cluster.kill("p000");
        cluster.advance(3_000);
        assertLoads(cluster);
    }

    private static void assertLoads(SimulatedCluster cluster) {
        for (String name : cluster.namesOf("dc3")) {
            var loads = cluster.process(name).loads();
            assertEquals(6, loads.requests("n1") + loads.requests("n2"), name);
            assertEquals(600, loads.promptTokens("n1") + loads.promptTokens("n2"), name);
            assertEquals(3, loads.requests("n1"), name + " hears no more than the sum");
            assertEquals(1, loads.requests("m"), name);
        }
        for (String name : cluster.namesOf("dc4")) {
            assertEquals(6, cluster.process(name).loads().requests("n1"), name);
            assertEquals(0, cluster.process(name).loads().requests("n2"), name);
        }
    }
}
