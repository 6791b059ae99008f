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
 * Chooses which hubs follow the platform's store for all processes. The others hear of policy and
 * upstreams from these, as a leaf does from its hub, so that calls to the store do not grow with
 * the number of hubs.
 *
 * <p>The choice needs no messages: every process makes it from the same list. Lists that differ for
 * a moment lead to one follower more or fewer, and a hub that hears no follower follows the store
 * itself.
 *
 * @since 0.3
 */
public final class StoreFollowers {
    /**
     * Most followers. Three, each in another data centre where there are so many: one may be lost
     * with its data centre while another is turned away by the store.
     */
    public static final int MAX_FOLLOWERS = 3;

    private StoreFollowers() {}

    /**
     * Chooses the followers.
     *
     * @param hubs the hubs, the strongest of each data centre before its others
     * @return their names; all hubs if there are few
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
