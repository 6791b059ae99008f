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
 * The load of a service over all processes.
 *
 * @param tokensPerMilli prompt tokens to be read, a millisecond
 * @param squaredTokensPerMilli sum of the squares of their prompts' sizes, a millisecond
 * @param running requests under way at its upstreams
 * @since 0.3
 */
public record ServiceLoad(double tokensPerMilli, double squaredTokensPerMilli, double running) {
    /** Load below which a service counts as not asked for, in requests under way. */
    private static final double MIN_RUNNING = 0.05;

    /**
     * Time within which requests beyond all places are to be worked off, in milliseconds: as long
     * as an upstream boots, since one that is ordered for them comes too late otherwise.
     */
    private static final double BACKLOG_DRAIN_MILLIS = 4_000;

    /**
     * Returns the load with requests that wait for a place counted as a backlog: as the places that
     * work them off within a boot, not as places that are needed from now on.
     *
     * @param places places of all upstreams that serve
     * @param runMillis how long a request takes a place, in milliseconds
     * @return the load itself while places are free
     */
    public ServiceLoad withBacklog(int places, double runMillis) {
        double waiting = running - places;
        if (waiting <= 0) {
            return this;
        }
        double part = Math.min(1, runMillis / BACKLOG_DRAIN_MILLIS);
        return new ServiceLoad(tokensPerMilli, squaredTokensPerMilli, places + waiting * part);
    }

    /**
     * Tells whether the service is asked for at all.
     *
     * @return false if nothing worth mentioning is under way
     */
    public boolean isSignificant() {
        return running >= MIN_RUNNING;
    }

    /**
     * Returns how much of a prompt is left to be read, on average, when another request arrives.
     *
     * @return tokens; 0 without load
     */
    public double remainingTokens() {
        return tokensPerMilli <= 0 ? 0 : squaredTokensPerMilli / (2 * tokensPerMilli);
    }
}
