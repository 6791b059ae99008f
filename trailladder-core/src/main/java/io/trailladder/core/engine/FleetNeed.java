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
 * @param comfortable so many that requests are in time also while the load swings
 * @param tight so many that it is served at all; fewer let requests wait for a place
 * @since 0.3
 */
public record FleetNeed(double comfortable, double tight) {
    /**
     * Returns a number between the two.
     *
     * @param part 0 for the tight one, 1 for the comfortable one
     * @return the number
     */
    public double between(double part) {
        return tight + part * (comfortable - tight);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "need %.2f, at least %.2f", comfortable, tight);
    }
}
