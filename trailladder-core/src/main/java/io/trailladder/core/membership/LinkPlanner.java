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
 * Decides to which processes this process opens links, and whether it acts as a hub.
 *
 * <p>A leaf keeps its hub until the link is lost, and avoids processes that it could not reach, for
 * a longer time after each failure. A leaf that had to link to a process of lower rank returns to a
 * hub of its data centre as soon as it may try that hub again. A process that others use as their
 * hub acts as one, whatever its rank.
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

    /** The hubs of each region, in the order in which they act as bridges. */
    private final Map<String, List<GatewayMember>> bridgeOrders = new HashMap<>();

    /**
     * The links that a process opens.
     *
     * @param hub true if this process acts as a hub
     * @param dial the addresses to which this process opens links
     */
    public record LinkPlan(boolean hub, Set<String> dial) {
        /** Copies the addresses. */
        public LinkPlan {
            dial = Set.copyOf(dial);
        }
    }

    /**
     * Creates a planner without known processes, where all data centres are in one region.
     *
     * @param self this process
     */
    public LinkPlanner(GatewayMember self) {
        this(self, Topology.oneRegion(self.dataCentre()));
    }

    /**
     * Creates a planner without known processes.
     *
     * @param self this process
     * @param topology the location of this process
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
        // each region has its own followers: they do not pass updates on to other regions
        storeFollowers = StoreFollowers.of(bridgeOrders.get(topology.region()));
    }

    /**
     * Returns whether a process is one of the few hubs that follow the store for all processes.
     *
     * @param name the name of the process
     * @return false in a full mesh, where each process follows the store itself
     */
    public boolean isStoreFollower(String name) {
        return !HubTopology.isFullMesh(members) && storeFollowers.contains(name);
    }

    /**
     * Returns the number of known processes, this one included.
     *
     * @return a count of at least 1
     */
    public int size() {
        boolean listed = members.stream().anyMatch(member -> member.name().equals(self.name()));
        return members.size() + (listed ? 0 : 1);
    }

    /**
     * Returns the number of known processes of the own region, this one included.
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
     * Records that a process was not reachable, or stopped responding.
     *
     * @param address its address
     * @param nowMillis the current time, in milliseconds
     */
    public void unreachable(String address, long nowMillis) {
        int previousFailures = failures.merge(address, 1, Integer::sum) - 1;
        long avoid = MIN_AVOID_MILLIS << Math.min(previousFailures, MAX_DOUBLINGS);
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
     * Computes the links to open.
     *
     * @param needed true if other processes use this process as their hub, or if it is the leader
     * @param nowMillis the current time, in milliseconds
     * @return the plan
     */
    public LinkPlan plan(boolean needed, long nowMillis) {
        avoidedUntilMillis.values().removeIf(until -> until <= nowMillis);
        List<GatewayMember> ownHubs = bridgeOrders.getOrDefault(topology.region(), List.of());
        if (HubTopology.isFullMesh(members) || ownHubs.stream().anyMatch(this::isSelf)) {
            return hubPlan(addressesToDial(ownHubs), ownHubs);
        }
        if (needed) {
            List<GatewayMember> withSelf = new ArrayList<>(ownHubs);
            withSelf.add(self);
            return hubPlan(addresses(ownHubs), withSelf);
        }
        chooseHub();
        return new LinkPlan(false, hubAddress.isEmpty() ? Set.of() : Set.of(hubAddress));
    }

    /**
     * Returns the position of a hub in the order in which the hubs of its region act as bridges.
     *
     * @param name the name of the hub
     * @param dataCentre its data centre
     * @return 0 for the first; {@link Integer#MAX_VALUE} for a process that is not a hub
     */
    public int bridgeRank(String name, String dataCentre) {
        List<GatewayMember> order =
                bridgeOrders.getOrDefault(topology.region(dataCentre), List.of());
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

    /**
     * Returns the plan of a hub: it links to the hubs of its region, and to other regions if it is
     * a bridge.
     */
    private LinkPlan hubPlan(Set<String> dial, List<GatewayMember> ownHubs) {
        if (!topology.isOneRegion() && reachableBridges(ownHubs).stream().anyMatch(this::isSelf)) {
            boolean isPreferred = preferredBridges(ownHubs).stream().anyMatch(this::isSelf);
            topology.otherRegions().forEach(region -> dialOtherRegion(region, isPreferred, dial));
        }
        return new LinkPlan(true, dial);
    }

    /**
     * Adds the links to another region. Its preferred bridges always get a link. A substitute for a
     * preferred bridge dials, and is dialled, whatever the order of the addresses, since the other
     * side may not know that it is a substitute.
     */
    private void dialOtherRegion(String region, boolean isPreferred, Set<String> dial) {
        List<GatewayMember> order = bridgeOrders.getOrDefault(region, List.of());
        List<GatewayMember> preferred = preferredBridges(order);
        dial.addAll(isPreferred ? addressesToDial(preferred) : addresses(preferred));
        for (GatewayMember member : reachableBridges(order)) {
            if (!preferred.contains(member)) {
                dial.add(member.address());
            }
        }
    }

    private static List<GatewayMember> preferredBridges(List<GatewayMember> order) {
        return order.subList(0, Math.min(HubTopology.BRIDGES_PER_REGION, order.size()));
    }

    /** Returns the first hubs of a region that were reachable at the last attempt. */
    private List<GatewayMember> reachableBridges(List<GatewayMember> order) {
        List<GatewayMember> reachable = new ArrayList<>();
        for (GatewayMember member : order) {
            boolean unreachable = !isSelf(member) && failures.containsKey(member.address());
            if (!unreachable && reachable.size() < HubTopology.BRIDGES_PER_REGION) {
                reachable.add(member);
            }
        }
        return reachable;
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

    /**
     * Returns the addresses that this process dials: of two processes that want a link to each
     * other, the one whose address sorts lower dials.
     */
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
