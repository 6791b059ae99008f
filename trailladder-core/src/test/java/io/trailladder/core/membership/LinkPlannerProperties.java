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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.membership.LinkPlanner.LinkPlan;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Who links to whom among gateway processes, in a calm hour and when hubs are lost. */
class LinkPlannerProperties {
    private static final List<String> DATA_CENTRES = List.of("a", "b", "c");
    private static final double WEAK_MBPS = 10;
    private static final double STRONG_MBPS = 200;

    private static GatewayMember member(int number, double linkMbps) {
        String dataCentre = DATA_CENTRES.get(number % DATA_CENTRES.size());
        String name = String.format("entry-%s-%03d", dataCentre, number);
        return new GatewayMember(name, dataCentre, "10.0.0." + number + ":1", linkMbps, 1);
    }

    /** The last processes are the strong ones. */
    private static List<GatewayMember> members(int count, int strong) {
        List<GatewayMember> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(i, i >= count - strong ? STRONG_MBPS : WEAK_MBPS));
        }
        return members;
    }

    private static LinkPlanner planner(GatewayMember self, List<GatewayMember> members) {
        LinkPlanner planner = new LinkPlanner(self);
        planner.members(members);
        return planner;
    }

    @Example
    void fewProcessesAllLinkToEachOtherOnce() {
        List<GatewayMember> members = members(HubTopology.FULL_MESH_MAX_PROCESSES, 0);
        int links = 0;
        for (GatewayMember self : members) {
            LinkPlan plan = planner(self, members).plan(false, 0);
            assertTrue(plan.hub());
            links += plan.dial().size();
        }
        assertEquals(members.size() * (members.size() - 1) / 2, links);
    }

    @Property(seed = "20261202")
    void linksOfLeavesDoNotGrowAndHubsLinkToAllHubs(@ForAll @IntRange(min = 13, max = 340) int n) {
        List<GatewayMember> members = members(n, 6);
        Set<String> hubs =
                HubTopology.hubs(members).stream()
                        .map(GatewayMember::address)
                        .collect(Collectors.toSet());
        assertEquals(DATA_CENTRES.size() * HubTopology.HUBS_PER_DATA_CENTRE, hubs.size());
        int betweenHubs = 0;
        for (GatewayMember self : members) {
            LinkPlan plan = planner(self, members).plan(false, 0);
            if (plan.hub()) {
                assertEquals(STRONG_MBPS, self.linkMbps());
                betweenHubs += plan.dial().size();
            } else {
                assertEquals(1, plan.dial().size());
                assertTrue(hubs.containsAll(plan.dial()));
            }
        }
        assertEquals(hubs.size() * (hubs.size() - 1) / 2, betweenHubs);
    }

    @Example
    void leafStaysInItsDataCentreAndLeavesAHubThatItCannotReach() {
        List<GatewayMember> members = members(30, 6);
        GatewayMember leaf = members.get(0);
        LinkPlanner planner = planner(leaf, members);
        String first = planner.plan(false, 0).dial().iterator().next();
        assertEquals(Set.of(first), planner.plan(false, 1_000).dial());
        planner.unreachable(first, 1_000);
        String second = planner.plan(false, 1_000).dial().iterator().next();
        assertNotEquals(first, second);
        planner.unreachable(second, 1_100);
        String third = planner.plan(false, 1_100).dial().iterator().next();
        GatewayMember acting =
                members.stream().filter(m -> m.address().equals(third)).findFirst().get();
        assertEquals(leaf.dataCentre(), acting.dataCentre());
        planner.reached(third);
        assertEquals(Set.of(third), planner.plan(false, 3_900).dial());
        String back = planner.plan(false, 4_200).dial().iterator().next();
        assertTrue(Set.of(first, second).contains(back), back + " is a hub again");
    }

    @Example
    void unreachableHubIsTriedAtGrowingIntervals() {
        List<GatewayMember> members = members(30, 6);
        GatewayMember leaf = members.get(0);
        LinkPlanner planner = planner(leaf, members);
        Set<String> lost =
                HubTopology.hubs(members).stream()
                        .filter(hub -> hub.dataCentre().equals(leaf.dataCentre()))
                        .map(GatewayMember::address)
                        .collect(Collectors.toSet());
        int tries = 0;
        for (long now = 0; now < 120_000; now += 100) {
            String hub = planner.plan(false, now).dial().iterator().next();
            if (lost.contains(hub)) {
                tries++;
                planner.unreachable(hub, now);
            } else {
                planner.reached(hub);
            }
        }
        assertTrue(tries <= 14, tries + " tries in two minutes");
    }

    @Example
    void leafWithoutReachableProcessOfItsDataCentreTakesAHubElsewhere() {
        List<GatewayMember> members = members(30, 6);
        GatewayMember leaf = members.get(0);
        LinkPlanner planner = planner(leaf, members);
        members.stream()
                .filter(member -> member.dataCentre().equals(leaf.dataCentre()))
                .forEach(member -> planner.unreachable(member.address(), 0));
        String hub = planner.plan(false, 0).dial().iterator().next();
        assertTrue(
                HubTopology.hubs(members).stream().anyMatch(m -> m.address().equals(hub)),
                hub + " is a hub");
    }

    @Example
    void leafThatActsAsAHubLinksToAllHubs() {
        List<GatewayMember> members = members(30, 6);
        LinkPlanner planner = planner(members.get(0), members);
        assertFalse(planner.plan(false, 0).hub());
        LinkPlan needed = planner.plan(true, 0);
        assertTrue(needed.hub());
        assertEquals(HubTopology.hubs(members).size(), needed.dial().size());
    }

    @Example
    void leavesSpreadOverTheHubsOfTheirDataCentre() {
        List<GatewayMember> members = members(300, 6);
        Set<String> chosen =
                members.stream()
                        .map(self -> planner(self, members).plan(false, 0))
                        .filter(plan -> !plan.hub())
                        .flatMap(plan -> plan.dial().stream())
                        .collect(Collectors.toSet());
        assertEquals(6, chosen.size());
    }
}
