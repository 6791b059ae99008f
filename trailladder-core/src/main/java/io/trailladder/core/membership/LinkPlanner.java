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
import java.util.ArrayList;
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
    private static final long MIN_AVOID_MILLIS = 3_000;
    private static final int MAX_DOUBLINGS = 4;

    private final GatewayMember self;
    private final Topology topology;
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<String, Integer> failures = new HashMap<>();
    private List<GatewayMember> members = List.of();
    private List<GatewayMember> hubs = List.of();
    private List<GatewayMember> candidates = List.of();
    private Set<String> storeFollowers = Set.of();
    private String hubAddress = "";

    /** The hubs of each region, those that are to carry its sums first. */
    private final Map<String, List<GatewayMember>> bridgeOrders = new HashMap<>();

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
        candidates = HubTopology.candidates(self, members, topology);
        bridgeOrders.clear();
        orderBridges(topology.region());
        topology.otherRegions().forEach(this::orderBridges);
        // each region has followers of its own: what they pass on does not cross
        storeFollowers = StoreFollowers.of(bridgeOrders.get(topology.region()));
    }

    /**
     * Tells whether a process is one of the few hubs that follow the store for all.
     *
     * @param name the process's name
     * @return false where all processes link to each other: there each follows for itself
     */
    public boolean isStoreFollower(String name) {
        return !HubTopology.isFullMesh(members) && storeFollowers.contains(name);
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
        long avoid = MIN_AVOID_MILLIS << Math.min(before, MAX_DOUBLINGS);
        avoidedUntilMillis.put(address, nowMillis + avoid);
        if (hubAddress.equals(address)) {
            hubAddress = "";
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
        List<GatewayMember> own = bridgeOrders.getOrDefault(topology.region(), List.of());
        if (HubTopology.isFullMesh(members) || own.stream().anyMatch(this::isSelf)) {
            return hubPlan(addressesToDial(own), own);
        }
        if (needed) {
            List<GatewayMember> withSelf = new ArrayList<>(own);
            withSelf.add(self);
            return hubPlan(addresses(own), withSelf);
        }
        chooseHub();
        return new LinkPlan(false, hubAddress.isEmpty() ? Set.of() : Set.of(hubAddress));
    }

    /**
     * Returns the place of a hub in the order in which hubs carry the sums of their region.
     *
     * @param name the hub's name
     * @param dataCentre its data centre
     * @return 0 for the first; more than any hub's for a process that is none
     */
    public int bridgeRank(String name, String dataCentre) {
        List<GatewayMember> order = bridgeOrders.getOrDefault(topology.region(dataCentre), List.of());
        for (int i = 0; i < order.size(); i++) {
            if (order.get(i).name().equals(name)) {
                return i;
            }
        }
        return Integer.MAX_VALUE;
    }

    private void orderBridges(String region) {
        bridgeOrders.put(region, HubTopology.bridgeOrder(hubs, topology, region));
    }

    private boolean isSelf(GatewayMember member) {
        return member.name().equals(self.name());
    }

    /** A hub links to those of its region, and to other regions if it is to carry sums. */
    private LinkPlan hubPlan(Set<String> dial, List<GatewayMember> own) {
        if (!topology.isOneRegion() && reachableBridges(own).stream().anyMatch(this::isSelf)) {
            boolean first = preferredBridges(own).stream().anyMatch(this::isSelf);
            topology.otherRegions().forEach(region -> dialOtherRegion(region, first, dial));
        }
        return new LinkPlan(true, dial);
    }

    /**
     * The first carriers of a region are always wanted. Who stands in for one dials, and is
     * dialled, whatever the addresses: the other side may not know that it does.
     */
    private void dialOtherRegion(String region, boolean first, Set<String> dial) {
        List<GatewayMember> order = bridgeOrders.getOrDefault(region, List.of());
        List<GatewayMember> wanted = preferredBridges(order);
        dial.addAll(first ? addressesToDial(wanted) : addresses(wanted));
        for (GatewayMember member : reachableBridges(order)) {
            if (!wanted.contains(member)) {
                dial.add(member.address());
            }
        }
    }

    private static List<GatewayMember> preferredBridges(List<GatewayMember> order) {
        return order.subList(0, Math.min(HubTopology.BRIDGES_PER_REGION, order.size()));
    }

    /** The first of a region's hubs that could be reached when last tried. */
    private List<GatewayMember> reachableBridges(List<GatewayMember> order) {
        List<GatewayMember> standing = new ArrayList<>();
        for (GatewayMember member : order) {
            boolean lost = !isSelf(member) && failures.containsKey(member.address());
            if (!lost && standing.size() < HubTopology.BRIDGES_PER_REGION) {
                standing.add(member);
            }
        }
        return standing;
    }

    private void chooseHub() {
        Optional<GatewayMember> best =
                candidates.stream()
                        .filter(member -> !avoidedUntilMillis.containsKey(member.address()))
                        .findFirst();
        Optional<GatewayMember> current =
                members.stream().filter(member -> member.address().equals(hubAddress)).findFirst();
        if (current.isEmpty() || (!isLocalHub(current) && isLocalHub(best))) {
            hubAddress = best.map(GatewayMember::address).orElse("");
        }
    }

    private boolean isLocalHub(Optional<GatewayMember> member) {
        return member.filter(m -> topology.isLocal(m.dataCentre()))
                .filter(m -> hubs.contains(m))
                .isPresent();
    }

    /** Of two processes that want each other, the one whose address sorts lower dials. */
    private Set<String> addressesToDial(Collection<GatewayMember> wanted) {
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
