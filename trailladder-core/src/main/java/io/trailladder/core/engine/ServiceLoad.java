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
 * @param tokensPerMilli prompt tokens to be read per millisecond
 * @param squaredTokensPerMilli sum of the squares of the prompt sizes in tokens, per millisecond
 * @param running requests in flight at the upstreams of the service
 * @since 0.3
 */
public record ServiceLoad(double tokensPerMilli, double squaredTokensPerMilli, double running) {
    /** Requests in flight below which a service counts as unused. */
    private static final double MIN_RUNNING = 0.05;

    /**
     * Time within which requests that wait for a slot are to be served, in milliseconds: the boot
     * time of an upstream, since one ordered to serve them sooner would be ready too late.
     */
    private static final double BACKLOG_DRAIN_MILLIS = 4_000;

    /**
     * Returns the load with the requests that wait for a slot counted as a backlog: as the slots
     * that serve them within the boot time of an upstream, not as slots that are needed
     * permanently.
     *
     * @param slots slots of all upstreams that serve
     * @param runMillis time for which a request occupies a slot, in milliseconds
     * @return this load while slots are free
     */
    public ServiceLoad withBacklog(int slots, double runMillis) {
        double waiting = running - slots;
        if (waiting <= 0) {
            return this;
        }
        double fraction = Math.min(1, runMillis / BACKLOG_DRAIN_MILLIS);
        return new ServiceLoad(tokensPerMilli, squaredTokensPerMilli, slots + waiting * fraction);
    }

    /**
     * Returns whether the service is used at all.
     *
     * @return false if the requests in flight are negligible
     */
    public boolean isSignificant() {
        return running >= MIN_RUNNING;
    }

    /**
     * Returns how many tokens of a prompt remain to be read, on average, when another request
     * arrives while it is being read.
     *
     * @return number of tokens; 0 without load
     */
    public double remainingTokens() {
        return tokensPerMilli <= 0 ? 0 : squaredTokensPerMilli / (2 * tokensPerMilli);
    }
}
