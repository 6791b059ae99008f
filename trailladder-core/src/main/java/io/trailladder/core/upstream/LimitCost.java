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

/**
 * Reserves a send slot of a limited upstream for requests that benefit from it: those whose prompt
 * it has cached, or that no other upstream serves in time. Without this cost, other requests would
 * use the slot because an upstream with few requests in flight appears to be the best.
 *
 * <p>The cost falls to 0 while the slot expires, so that the slot is used in the end.
 */
final class LimitCost implements CostTerm {
    /**
     * Cost of a slot that has just begun, in milliseconds: less than the time to read most prompts.
     */
    private static final double MAX_COST_MILLIS = 50;

    private final UpstreamLimits limits;

    LimitCost(UpstreamLimits limits) {
        this.limits = limits;
    }

    @Override
    public String name() {
        return "limit";
    }

    @Override
    public double millis(Candidate candidate) {
        return limits.isEmpty()
                ? 0
                : limits.remainingFraction(candidate.upstream()) * MAX_COST_MILLIS;
    }
}
