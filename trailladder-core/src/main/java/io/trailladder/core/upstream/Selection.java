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
package io.trailladder.core.upstream;

import java.util.List;
import java.util.Optional;

/**
 * The choice of an upstream for one request, with the inputs that led to it.
 *
 * @param upstream the upstream
 * @param predictedMillis predicted time to its first answer, in milliseconds
 * @param requests requests under way there, of all entries
 * @param waitingTokens prompt tokens waiting there, of all entries
 * @param cachedTokens tokens of the prompt it probably holds
 * @param candidates how many upstreams were weighed
 * @param slotWaitMillis how long a place there is expected to be waited for, in milliseconds; 0 while
 *     one is free, or while too little is known of the upstreams
 * @param costs what made up the predicted time, by cost term
 * @param crossRegion why another region was chosen; empty if the own one was
 * @since 0.2
 */
public record Selection(
        Upstream upstream,
        double predictedMillis,
        int requests,
        int waitingTokens,
        int cachedTokens,
        int candidates,
        long slotWaitMillis,
        List<CostShare> costs,
        Optional<CrossRegionChoice> crossRegion) {
    /** Copies the costs. */
    public Selection {
        costs = List.copyOf(costs);
    }
}
