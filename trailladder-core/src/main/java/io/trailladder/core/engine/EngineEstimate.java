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

/**
 * What is believed of the upstreams of one service.
 *
 * @param firstMillis time to the first event of a request without a prompt to read, in milliseconds
 * @param millisPerToken time to read one prompt token, in milliseconds
 * @param pauseMillisPerRequest by how much one more request under way makes the pauses between the
 *     events of each other one longer, in milliseconds
 * @param runMillis time from sending a request to its end, in milliseconds
 * @param observations weight of the observations behind it; 0 if it is the prior alone
 * @since 0.3
 */
public record EngineEstimate(
        double firstMillis,
        double millisPerToken,
        double pauseMillisPerRequest,
        double runMillis,
        double observations) {

    /**
     * Answers that must have been seen before decisions that cost callers or money rest on the
     * estimate: below that it is mostly the prior, a slow engine.
     */
    public static final double MIN_OBSERVATIONS = 15;

    /**
     * Tells whether enough answers were seen to decide by the estimate.
     *
     * @return false while it is mostly the prior
     */
    public boolean isLearned() {
        return observations >= MIN_OBSERVATIONS;
    }

    /**
     * Returns how long a request waits for a place, beyond what reading takes.
     *
     * @param running requests under way at the upstream
     * @param slots how many it works on at once
     * @return milliseconds; 0 while a place is free
     */
    public double slotWaitMillis(int running, int slots) {
        int ahead = running + 1 - Math.max(1, slots);
        return ahead <= 0 ? 0 : ahead * runMillis / Math.max(1, slots);
    }
}
