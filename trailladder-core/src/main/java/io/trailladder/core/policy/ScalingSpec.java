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
package io.trailladder.core.policy;

import java.util.Map;

/**
 * How many upstreams of a service may be ordered, and their prices.
 *
 * @param min lowest number in each data centre
 * @param max highest number in each data centre
 * @param bootMillis time from an order until the upstream serves, in milliseconds
 * @param reclaimablePrice price of a reclaimable upstream as a fraction of the full price
 * @param dataCentrePrices price per second of an upstream, by data centre
 * @since 0.2
 */
public record ScalingSpec(
        int min,
        int max,
        long bootMillis,
        double reclaimablePrice,
        Map<String, Double> dataCentrePrices) {
    /** Copies the prices into an unmodifiable map. */
    public ScalingSpec {
        dataCentrePrices = Map.copyOf(dataCentrePrices);
    }
}
