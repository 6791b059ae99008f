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
package io.trailladder.core.limit;

/**
 * Splits the limit of a row over the entries in proportion to their demand.
 *
 * @since 0.1
 */
public final class LimitShare {
    /**
     * Part of the limit that is split evenly, so that an entry without demand can start to serve
     * requests.
     */
    public static final double EVEN_PART = 0.2;

    private LimitShare() {}

    /**
     * Returns the share of one entry.
     *
     * @param limit the limit of the row over all entries, in requests a second
     * @param own the demand at this entry, in requests a second
     * @param others the total demand at all other entries, in requests a second
     * @param peers the number of other entries
     * @return the share of this entry, in requests a second
     */
    public static double of(double limit, double own, double others, int peers) {
        double even = limit / (peers + 1);
        double total = own + others;
        if (total <= 0) {
            return even;
        }
        double byDemand = limit * own / total;
        return EVEN_PART * even + (1 - EVEN_PART) * byDemand;
    }
}
