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
 * The estimated speed of the upstreams of one service.
 *
 * @param firstMillis time to the first event of a request without a prompt to read, in milliseconds
 * @param millisPerToken time to read one prompt token, in milliseconds
 * @param pauseMillisPerRequest increase of the pause between two events of an answer for each
 *     further request in flight at the upstream, in milliseconds
 * @param runMillis time from sending a request to the end of its answer, in milliseconds
 * @param observations weight of the observations that the estimate is based on; 0 if it is the
 *     prior alone
 * @since 0.3
 */
public record EngineEstimate(
        double firstMillis,
        double millisPerToken,
        double pauseMillisPerRequest,
        double runMillis,
        double observations) {

    /**
     * Minimum weight of observed answers before decisions that cost callers or money are based on
     * the estimate: with fewer it is mostly the prior, a slow engine.
     */
    public static final double MIN_OBSERVATIONS = 15;

    /**
     * Returns whether the estimate is based on enough observed answers to decide by it.
     *
     * @return false while it is mostly the prior
     */
    public boolean isLearned() {
        return observations >= MIN_OBSERVATIONS;
    }

    /**
     * Returns how long a request waits for a slot, in addition to the time that reading the prompts
     * before it takes.
     *
     * @param running requests in flight at the upstream
     * @param slots number of requests that the upstream works on at once
     * @return milliseconds; 0 while a slot is free
     */
    public double slotWaitMillis(int running, int slots) {
        int ahead = running + 1 - Math.max(1, slots);
        return ahead <= 0 ? 0 : ahead * runMillis / Math.max(1, slots);
    }
}
