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
 * Places full-price upstreams in the data centres where they cost least.
 *
 * <p>Placed upstreams stay where they are as long as they are wanted, since an upstream moved to
 * another data centre would have to boot again. Upstreams that are no longer wanted are removed
 * from the most expensive data centre first.
 */
final class FullPricePlacement {
    private final Map<String, Integer> placed = new TreeMap<>();

    /**
     * Places a number of upstreams.
     *
     * @param wanted the number of upstreams
     * @param scaling prices of the data centres
     * @param capacity how many upstreams each data centre can have
     * @return how many upstreams each data centre gets; fewer in total than wanted if the capacity
     *     does not suffice
     */
    Map<String, Integer> place(int wanted, ScalingSpec scaling, Map<String, Integer> capacity) {
        List<String> byPrice =
                capacity.keySet().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        dataCentre ->
                                                scaling.dataCentrePrices()
                                                        .getOrDefault(dataCentre, 1.0)))
                        .toList();
        int remaining = wanted;
        for (String dataCentre : byPrice) {
            int kept = Math.min(remaining, placed.getOrDefault(dataCentre, 0));
            placed.put(dataCentre, kept);
            remaining -= kept;
        }
        for (String dataCentre : byPrice) {
            int added =
                    Math.max(
                            0,
                            Math.min(remaining, capacity.get(dataCentre) - placed.get(dataCentre)));
            placed.merge(dataCentre, added, Integer::sum);
            remaining -= added;
        }
        return new TreeMap<>(placed);
    }
}
