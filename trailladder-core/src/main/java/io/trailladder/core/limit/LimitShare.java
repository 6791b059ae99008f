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
 * Splits a row's limit over the entries in proportion to what each is asked for.
 *
 * @since 0.1
 */
public final class LimitShare {
    /** Part of the limit that is split evenly, so that an entry without demand can begin. */
    public static final double EVEN_PART = 0.2;

    private LimitShare() {}

    /**
     * Computes one entry's share.
     *
     * @param limit the row's limit over all entries, in requests a second
     * @param own what this entry is asked for, in requests a second
     * @param others what all other entries are asked for together
     * @param peers how many other entries there are
     * @return this entry's share, in requests a second
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
