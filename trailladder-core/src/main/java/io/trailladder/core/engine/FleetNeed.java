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
package io.trailladder.core.engine;

import java.util.Locale;

/**
 * How many upstreams a load needs.
 *
 * @param recommended so many that requests are in time also while the load swings
 * @param minimum so many that it is served at all; fewer let requests wait for a place
 * @since 0.3
 */
public record FleetNeed(double recommended, double minimum) {
    /**
     * Returns as many as serve the load with a margin for its chance variation: by the square-root
     * rule of staffing the margin is the root of the number itself, so that few upstreams need a
     * large part more and many a small one.
     *
     * @return the tight number and its root, at most the comfortable one
     */
    public double withMargin() {
        return Math.min(recommended, minimum + Math.sqrt(minimum));
    }

    /**
     * Returns the need while some upstreams serve nearly nothing.
     *
     * @param without how many of those that are listed
     * @return so many more
     */
    public FleetNeed plusUpstreams(int without) {
        return without == 0 ? this : new FleetNeed(recommended + without, minimum + without);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "need %.2f, at least %.2f", recommended, minimum);
    }
}
