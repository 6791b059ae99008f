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
 * The number of upstreams that a load needs.
 *
 * @param recommended number at which requests are served in time also while the load varies
 * @param minimum number at which the load is served at all; with fewer, requests wait for a slot
 * @since 0.3
 */
public record FleetNeed(double recommended, double minimum) {
    /**
     * Returns the minimum with a margin for random variation of the load. By the square-root
     * staffing rule the margin is the square root of the minimum, so that it is relatively large
     * for few upstreams and small for many.
     *
     * @return the minimum plus its square root, at most the recommended number
     */
    public double withMargin() {
        return Math.min(recommended, minimum + Math.sqrt(minimum));
    }

    /**
     * Returns the need while some of the listed upstreams serve nearly nothing.
     *
     * @param unproductive number of upstreams that serve nearly nothing
     * @return this need plus that number
     */
    public FleetNeed plusUpstreams(int unproductive) {
        return unproductive == 0
                ? this
                : new FleetNeed(recommended + unproductive, minimum + unproductive);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "need %.2f, at least %.2f", recommended, minimum);
    }
}
