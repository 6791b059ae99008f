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
package io.trailladder.core.duty;

import io.trailladder.core.policy.ScalingSpec;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Places upstreams at the full price in the data centres where they cost least.
 *
 * <p>What was placed stays where it is as long as it is wanted: moved to another data centre it
 * would have to boot again. What is no longer wanted is taken from the dearest first.
 */
final class FullPricePlacement {
    private final Map<String, Integer> placed = new TreeMap<>();

    /**
     * Places a number of upstreams.
     *
     * @param wanted how many
     * @param scaling prices of the data centres
     * @param room how many each data centre can have
     * @return how many each gets; together fewer than wanted if there is no room
     */
    Map<String, Integer> place(int wanted, ScalingSpec scaling, Map<String, Integer> room) {
        List<String> cheapestFirst =
                room.keySet().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        dataCentre ->
                                                scaling.dataCentrePrices()
                                                        .getOrDefault(dataCentre, 1.0)))
                        .toList();
        int left = wanted;
        for (String dataCentre : cheapestFirst) {
            int kept = Math.min(left, placed.getOrDefault(dataCentre, 0));
            placed.put(dataCentre, kept);
            left -= kept;
        }
        for (String dataCentre : cheapestFirst) {
            int more = Math.max(0, Math.min(left, room.get(dataCentre) - placed.get(dataCentre)));
            placed.merge(dataCentre, more, Integer::sum);
            left -= more;
        }
        return new TreeMap<>(placed);
    }
}
