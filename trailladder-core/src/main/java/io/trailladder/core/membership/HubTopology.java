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
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses the hubs among the gateway processes.
 *
 * <p>Few processes link to each other directly. Above {@link #FULL_MESH_MOST} the strongest of each
 * data centre are hubs, which link to each other, and every other process links to one of them. So
 * the links of a process do not grow with the number of processes, and those of a hub grow with the
 * processes of its data centre only.
 *
 * @since 0.2
 */
public final class HubTopology {
    /** Most processes that all link to each other. */
    public static final int FULL_MESH_MOST = 12;

    /** Hubs of a data centre. */
    public static final int HUBS_PER_DATA_CENTRE = 2;

    private static final Comparator<GatewayMember> STRONGEST_FIRST =
            Comparator.comparingDouble((GatewayMember member) -> -member.linkMbps())
                    .thenComparingDouble(member -> -member.cores())
                    .thenComparing(GatewayMember::name);

    private HubTopology() {}

    /**
     * Tells whether all processes link to each other.
     *
     * @param members all known processes
     * @return true if there are few
     */
    public static boolean isFullMesh(Collection<GatewayMember> members) {
        return members.size() <= FULL_MESH_MOST;
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
     * Orders the processes that a leaf may link to: the hubs of its data centre in an order of its
     * own, so that leaves spread over them, then the next strongest there, then hubs elsewhere.
     *
     * @param self the leaf
     * @param members all known processes
     * @return the others, the most wanted first
     */
    public static List<GatewayMember> candidates(
            GatewayMember self, Collection<GatewayMember> members) {
        List<GatewayMember> hubs = hubs(members);
        Comparator<GatewayMember> order =
                Comparator.<GatewayMember>comparingInt(member -> rank(self, member, hubs))
                        .thenComparingLong(member -> spread(self, member, hubs))
                        .thenComparing(STRONGEST_FIRST);
        return members.stream()
                .filter(member -> !member.name().equals(self.name()))
                .filter(member -> isLocal(self, member) || hubs.contains(member))
                .sorted(order)
                .toList();
    }

    private static int rank(GatewayMember self, GatewayMember member, List<GatewayMember> hubs) {
        if (!isLocal(self, member)) {
            return 2;
        }
        return hubs.contains(member) ? 0 : 1;
    }

    private static long spread(GatewayMember self, GatewayMember member, List<GatewayMember> hubs) {
        if (!hubs.contains(member)) {
            return 0;
        }
        String pair = self.name() + '/' + member.name();
        return Hashing.xxh3_64().hashCharsToLong(pair);
    }

    private static boolean isLocal(GatewayMember self, GatewayMember member) {
        return member.dataCentre().equals(self.dataCentre());
    }
}
