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
 * Keeps a turn at a limited upstream for requests that gain from it: those whose prompt it holds,
 * or that are served nowhere else in time. Others would take it only because an upstream with few
 * requests under way looks the best of all.
 *
 * <p>What it costs falls to nothing while the turn's time runs out, so that it is used in the end.
 */
final class LimitCost implements CostTerm {
    /** What a turn costs that has just begun, in milliseconds: less than to read most prompts. */
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
        return limits.isEmpty() ? 0 : limits.remainingFraction(candidate.upstream()) * MAX_COST_MILLIS;
    }
}
