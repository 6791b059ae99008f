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
package io.trailladder.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.topology.Topology;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Who links to whom where there are two regions of three data centres each. */
class RegionPlanTest {
    private static final List<String> DATA_CENTRES = List.of("a1", "b1", "a2", "b2", "a3", "b3");
    private static final Map<String, String> REGIONS =
            Map.of("a1", "a", "a2", "a", "a3", "a", "b1", "b", "b2", "b", "b3", "b");

    private static List<GatewayMember> members(int count) {
        List<GatewayMember> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String dataCentre = DATA_CENTRES.get(i % DATA_CENTRES.size());
            String address = String.format("10.0.0.%03d:1", i);
            members.add(new GatewayMember("p" + address, dataCentre, address, 100.0 - i % 7, 1));
        }
        return members;
    }

    private static LinkPlanner planner(GatewayMember self, List<GatewayMember> members) {
        LinkPlanner planner = new LinkPlanner(self, Topology.of(self.dataCentre(), REGIONS));
        planner.members(members);
        return planner;
    }

    private static GatewayMember at(String address, List<GatewayMember> members) {
        return members.stream().filter(m -> m.address().equals(address)).findFirst().orElseThrow();
    }

    private static Set<String> linksBetweenRegions(List<GatewayMember> members) {
        Set<String> across = new TreeSet<>();
        for (GatewayMember self : members) {
            for (String address : planner(self, members).plan(false, 0).dial()) {
                String there = REGIONS.get(at(address, members).dataCentre());
                if (!there.equals(REGIONS.get(self.dataCentre()))) {
                    across.add(self.address() + ' ' + address);
                }
            }
        }
        return across;
    }

    @Property(tries = 60, seed = "20261203")
    void fourLinksBetweenRegionsForAnyNumberOfProcesses(@ForAll @IntRange(min = 4, max = 340) int n) {
        List<GatewayMember> members = members(n);
        assertEquals(4, linksBetweenRegions(members).size());
    }

    @Property(tries = 60, seed = "20261203")
    void bridgesOfARegionAreInTwoDataCentres(@ForAll @IntRange(min = 6, max = 340) int n) {
        List<GatewayMember> members = members(n);
        Topology topology = Topology.of("a1", REGIONS);
        for (String region : List.of("a", "b")) {
            List<GatewayMember> order =
                    HubTopology.bridgeOrder(HubTopology.hubs(members), topology, region);
            assertNotEquals(order.get(0).dataCentre(), order.get(1).dataCentre());
        }
    }

    @Example
    void nextHubBecomesABridgeWhenABridgeIsUnreachable() {
        List<GatewayMember> members = members(72);
        List<GatewayMember> order =
                HubTopology.bridgeOrder(HubTopology.hubs(members), Topology.of("a1", REGIONS), "a");
        LinkPlanner third = planner(order.get(2), members);
        assertTrue(addressesInOtherRegion(third, members).isEmpty(), "two others carry");
        third.unreachable(order.get(0).address(), 0);
        assertEquals(2, addressesInOtherRegion(third, members).size());
        third.reached(order.get(0).address());
        assertTrue(addressesInOtherRegion(third, members).isEmpty(), "two others carry again");
    }

    @Example
    void unreachableBridgesOfTheOtherRegionAreReplacedAndTriedAgain() {
        List<GatewayMember> members = members(72);
        Topology topology = Topology.of("a1", REGIONS);
        List<GatewayMember> hubs = HubTopology.hubs(members);
        GatewayMember self = HubTopology.bridgeOrder(hubs, topology, "a").get(0);
        List<GatewayMember> there = HubTopology.bridgeOrder(hubs, topology, "b");
        LinkPlanner planner = planner(self, members);
        planner.unreachable(there.get(0).address(), 0);
        planner.unreachable(there.get(1).address(), 0);
        Set<String> across = addressesInOtherRegion(planner, members);
        assertTrue(across.contains(there.get(2).address()), "the third is dialled");
        assertTrue(across.contains(there.get(3).address()), "the fourth is dialled");
        planner.reached(there.get(0).address());
        planner.reached(there.get(1).address());
        assertTrue(addressesInOtherRegion(planner, members).size() <= 2, "the first two are enough again");
    }

    private static Set<String> addressesInOtherRegion(LinkPlanner planner, List<GatewayMember> members) {
        Set<String> across = new TreeSet<>();
        for (String address : planner.plan(false, 100_000).dial()) {
            if (REGIONS.get(at(address, members).dataCentre()).equals("b")) {
                across.add(address);
            }
        }
        return across;
    }
}
