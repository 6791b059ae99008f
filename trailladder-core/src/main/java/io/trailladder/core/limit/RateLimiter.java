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
package io.trailladder.core.limit;

/**
 * A token bucket for a number of requests a second, with a burst of one second's requests.
 *
 * @since 0.1
 */
public final class RateLimiter {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private double perSecond;
    private double tokens;
    private long updatedMillis;

    /**
     * Creates a limiter with a full bucket.
     *
     * @param perSecond the rate, in requests a second
     * @param nowMillis the current time, in milliseconds
     */
    public RateLimiter(double perSecond, long nowMillis) {
        this.perSecond = perSecond;
        this.tokens = burst();
        this.updatedMillis = nowMillis;
    }

    /**
     * Takes the token of one request if there is one.
     *
     * @param nowMillis the current time, in milliseconds
     * @return 0 if the request may proceed, else the time after which another attempt may succeed,
     *     in milliseconds
     */
    public long tryAcquire(long nowMillis) {
        refill(nowMillis);
        if (tokens >= 1) {
            tokens -= 1;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) * MILLIS_PER_SECOND / perSecond));
    }

    /**
     * Changes the rate, for a new share of the limit of the row.
     *
     * @param newPerSecond the rate, in requests a second, above 0
     * @param nowMillis the current time, in milliseconds
     */
    public void rate(double newPerSecond, long nowMillis) {
        refill(nowMillis);
        perSecond = newPerSecond;
        tokens = Math.min(tokens, burst());
    }

    private void refill(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - updatedMillis);
        tokens = Math.min(burst(), tokens + elapsed * perSecond / MILLIS_PER_SECOND);
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }

    private double burst() {
        return Math.max(1, perSecond);
    }
}
