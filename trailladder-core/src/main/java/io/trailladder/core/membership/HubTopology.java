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

import com.dynatrace.hash4j.hashing.Hashing;
import io.trailladder.core.topology.Topology;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses the hubs among the gateway processes.
 *
 * <p>Few processes link to each other directly. Above {@link #FULL_MESH_MAX_PROCESSES} the strongest of each
 * data centre are hubs, which link to each other, and every other process links to one of them. So
 * the links of a process do not grow with the number of processes, and those of a hub grow with the
 * processes of its data centre only.
 *
 * @since 0.2
 */
public final class HubTopology {
    /** Most processes that all link to each other. */
    public static final int FULL_MESH_MAX_PROCESSES = 12;

    /** Hubs of a data centre. */
    public static final int HUBS_PER_DATA_CENTRE = 2;

    private static final Comparator<GatewayMember> STRONGEST_FIRST =
            Comparator.comparingDouble((GatewayMember member) -> -member.linkMbps())
                    .thenComparingDouble(member -> -member.cores())
                    .thenComparing(GatewayMember::name);

    /** Processes of a region that link to other regions. */
    public static final int BRIDGES_PER_REGION = 2;

    private HubTopology() {}

    /**
     * Tells whether all processes link to each other.
     *
     * @param members all known processes
     * @return true if there are few
     */
    public static boolean isFullMesh(Collection<GatewayMember> members) {
        return members.size() <= FULL_MESH_MAX_PROCESSES;
    }

    /**
     * Chooses the hubs.
     *
     * @param members all known processes
     * @return the hubs of every data centre; everyone of a full mesh
     */
    public static List<GatewayMember> hubs(Collection<GatewayMember> members) {
        if (isFullMesh(members)) {
            return List.copyOf(members);
        }
        Map<String, List<GatewayMember>> byDataCentre = new TreeMap<>();
        for (GatewayMember member : members) {
            byDataCentre
                    .computeIfAbsent(member.dataCentre(), dataCentre -> new ArrayList<>())
                    .add(member);
        }
        List<GatewayMember> hubs = new ArrayList<>();
        for (List<GatewayMember> local : byDataCentre.values()) {
            local.sort(STRONGEST_FIRST);
            hubs.addAll(local.subList(0, Math.min(HUBS_PER_DATA_CENTRE, local.size())));
        }
        return hubs;
    }

    /**
     * Orders the hubs of a region by who is to carry its sums to other regions: the strongest, then
     * the strongest of another data centre, so that no loss of one takes both, then the others.
     *
     * @param hubs all hubs
     * @param topology tells the regions
     * @param region the region's name
     * @return its hubs, the first {@link #BRIDGES_PER_REGION} of those that can be reached carry
     */
    public static List<GatewayMember> bridgeOrder(
            Collection<GatewayMember> hubs, Topology topology, String region) {
        List<GatewayMember> order = new ArrayList<>();
        for (GatewayMember hub : hubs) {
            if (topology.region(hub.dataCentre()).equals(region)) {
                order.add(hub);
            }
        }
        order.sort(STRONGEST_FIRST);
        for (int i = 1; i < order.size(); i++) {
            if (!order.get(i).dataCentre().equals(order.get(0).dataCentre())) {
                order.add(1, order.remove(i));
                break;
            }
        }
        return order;
    }

    /**
     * Orders the processes that a leaf may link to: the hubs of its data centre in an order of its
     * own, so that leaves spread over them, then the next strongest there, then hubs of its region,
     * then hubs elsewhere.
     *
     * @param self the leaf
     * @param members all known processes
     * @param topology tells how far they are
     * @return the others, the most wanted first
     */
    public static List<GatewayMember> candidates(
            GatewayMember self, Collection<GatewayMember> members, Topology topology) {
        List<GatewayMember> hubs = hubs(members);
        Comparator<GatewayMember> order =
                Comparator.<GatewayMember>comparingInt(member -> rank(member, hubs, topology))
                        .thenComparingLong(member -> spreadHash(self, member, hubs))
                        .thenComparing(STRONGEST_FIRST);
        return members.stream()
                .filter(member -> !member.name().equals(self.name()))
                .filter(member -> topology.isLocal(member.dataCentre()) || hubs.contains(member))
                .sorted(order)
                .toList();
    }

    private static int rank(GatewayMember member, List<GatewayMember> hubs, Topology topology) {
        return switch (topology.distance(member.dataCentre())) {
            case SAME_DATA_CENTRE -> hubs.contains(member) ? 0 : 1;
            case SAME_REGION -> 2;
            case OTHER_REGION -> 3;
        };
    }

    private static long spreadHash(GatewayMember self, GatewayMember member, List<GatewayMember> hubs) {
        if (!hubs.contains(member)) {
            return 0;
        }
        String pair = self.name() + '/' + member.name();
        return Hashing.xxh3_64().hashCharsToLong(pair);
    }
}
