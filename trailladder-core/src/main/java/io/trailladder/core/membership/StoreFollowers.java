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

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses the hubs that follow the platform's store for all processes. The other hubs receive
 * policy and upstreams from these, as a leaf does from its hub, so that the number of calls to the
 * store does not grow with the number of hubs.
 *
 * <p>The choice needs no messages: every process makes it from the same list. Lists that differ for
 * a short time lead to one follower more or fewer, and a hub that receives nothing from a follower
 * follows the store itself.
 *
 * @since 0.3
 */
public final class StoreFollowers {
    /**
     * Maximum number of followers. There are three, in different data centres where possible: one
     * may be lost with its data centre while the store refuses the calls of another.
     */
    public static final int MAX_FOLLOWERS = 3;

    private StoreFollowers() {}

    /**
     * Returns the followers.
     *
     * @param hubs the hubs, the strongest of each data centre before its others
     * @return the names of the followers; all hubs if there are at most {@link #MAX_FOLLOWERS}
     */
    public static Set<String> of(Collection<GatewayMember> hubs) {
        Map<String, List<GatewayMember>> byDataCentre = new TreeMap<>();
        for (GatewayMember hub : hubs) {
            byDataCentre
                    .computeIfAbsent(hub.dataCentre(), dataCentre -> new ArrayList<>())
                    .add(hub);
        }
        Set<String> names = new HashSet<>();
        for (int rank = 0; names.size() < MAX_FOLLOWERS && rank < hubs.size(); rank++) {
            addRank(byDataCentre, rank, names);
        }
        return names;
    }

    private static void addRank(
            Map<String, List<GatewayMember>> byDataCentre, int rank, Set<String> names) {
        for (List<GatewayMember> local : byDataCentre.values()) {
            if (rank < local.size() && names.size() < MAX_FOLLOWERS) {
                names.add(local.get(rank).name());
            }
        }
    }
}
