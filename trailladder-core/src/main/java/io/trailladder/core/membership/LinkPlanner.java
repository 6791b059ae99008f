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

import io.trailladder.core.topology.Topology;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which processes this process opens links to, and whether it acts as a hub.
 *
 * <p>A leaf stays with its hub until the link is lost, and leaves out whom it could not reach, for
 * longer each time. One that had to take a process of lower rank returns to a hub of its data
 * centre when it may try it again. A process that others took as their hub acts as one, whatever
 * its rank.
 *
 * @since 0.2
 */
public final class LinkPlanner {
    private static final long AVOID_MILLIS = 3_000;
    private static final int MOST_DOUBLINGS = 4;

    private final GatewayMember self;
    private final Topology topology;
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<String, Integer> failures = new HashMap<>();
    private List<GatewayMember> members = List.of();
    private List<GatewayMember> hubs = List.of();
    private List<GatewayMember> candidates = List.of();
    private Set<String> followers = Set.of();
    private String hub = "";

    /**
     * What to do about links.
     *
     * @param hub true if this process acts as a hub
     * @param dial addresses to be linked to by this process
     */
    public record LinkPlan(boolean hub, Set<String> dial) {
        /** Copies the addresses. */
        public LinkPlan {
            dial = Set.copyOf(dial);
        }
    }

    /**
     * Creates a planner that knows nobody, where all is one region.
     *
     * @param self this process
     */
    public LinkPlanner(GatewayMember self) {
        this(self, Topology.oneRegion(self.dataCentre()));
    }

    /**
     * Creates a planner that knows nobody.
     *
     * @param self this process
     * @param topology where it is
     */
    public LinkPlanner(GatewayMember self, Topology topology) {
        this.self = self;
        this.topology = topology;
    }

    /**
     * Sets the known processes.
     *
     * @param listed all processes that the store lists
     */
    public void members(Collection<GatewayMember> listed) {
        members = List.copyOf(listed);
        hubs = HubTopology.hubs(members);
        candidates = HubTopology.candidates(self, members);
        followers = StoreFollowers.of(hubs);
    }

    /**
     * Tells whether a process is one of the few hubs that follow the store for all.
     *
     * @param name the process's name
     * @return false where all processes link to each other: there each follows for itself
     */
    public boolean isStoreFollower(String name) {
        return !HubTopology.isFullMesh(members) && followers.contains(name);
    }

    /**
     * Returns how many processes are known, this one included.
     *
     * @return a count of at least 1
     */
    public int size() {
        boolean listed = members.stream().anyMatch(member -> member.name().equals(self.name()));
        return members.size() + (listed ? 0 : 1);
    }

    /**
     * Returns how many processes of the own region are known, this one included.
     *
     * @return a count of at least 1
     */
    public int regionSize() {
        if (topology.isOneRegion()) {
            return size();
        }
        int count = 0;
        for (GatewayMember member : members) {
            count += topology.isOwnRegion(member.dataCentre()) ? 1 : 0;
        }
        return Math.max(1, count);
    }

    /**
     * Records that a process could not be reached, or fell silent.
     *
     * @param address its address
     * @param nowMillis the time
     */
    public void unreachable(String address, long nowMillis) {
        int before = failures.merge(address, 1, Integer::sum) - 1;
        long avoid = AVOID_MILLIS << Math.min(before, MOST_DOUBLINGS);
        avoidedUntilMillis.put(address, nowMillis + avoid);
        if (hub.equals(address)) {
            hub = "";
        }
    }

    /**
     * Records that a process answered over a new link.
     *
     * @param address its address
     */
    public void reached(String address) {
        failures.remove(address);
    }

    /**
     * Plans.
     *
     * @param needed true if others rely on this process as a hub, or it leads
     * @param nowMillis the time
     * @return whom to link to
     */
    public LinkPlan plan(boolean needed, long nowMillis) {
        avoidedUntilMillis.values().removeIf(until -> until <= nowMillis);
        if (HubTopology.isFullMesh(members)) {
            return new LinkPlan(true, mesh(members));
        }
        boolean chosen = hubs.stream().anyMatch(member -> member.name().equals(self.name()));
        if (chosen) {
            return new LinkPlan(true, mesh(hubs));
        }
        if (needed) {
            return new LinkPlan(true, addresses(hubs));
        }
        chooseHub();
        return new LinkPlan(false, hub.isEmpty() ? Set.of() : Set.of(hub));
    }

    private void chooseHub() {
        Optional<GatewayMember> best =
                candidates.stream()
                        .filter(member -> !avoidedUntilMillis.containsKey(member.address()))
                        .findFirst();
        Optional<GatewayMember> current =
                members.stream().filter(member -> member.address().equals(hub)).findFirst();
        if (current.isEmpty() || (!isLocalHub(current) && isLocalHub(best))) {
            hub = best.map(GatewayMember::address).orElse("");
        }
    }

    private boolean isLocalHub(Optional<GatewayMember> member) {
        return member.filter(m -> topology.isLocal(m.dataCentre()))
                .filter(m -> hubs.contains(m))
                .isPresent();
    }

    /** Of two processes that want each other, the one whose address sorts lower dials. */
    private Set<String> mesh(Collection<GatewayMember> wanted) {
        Set<String> dial = new HashSet<>();
        for (GatewayMember member : wanted) {
            if (self.address().compareTo(member.address()) < 0) {
                dial.add(member.address());
            }
        }
        return dial;
    }

    private static Set<String> addresses(Collection<GatewayMember> wanted) {
        Set<String> dial = new HashSet<>();
        wanted.forEach(member -> dial.add(member.address()));
        return dial;
    }
}
