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
package io.trailladder.core.duty;

/**
 * Computes the additional time that a process waits before it claims leadership, which grows with
 * its latency to the store. All calls of a leader go to the store, so a nearby leader costs least
 * and is the last to lose its lease.
 *
 * <p>The minimum of the most recent latencies is used, since a busy store or process only adds to
 * the latency of the path.
 *
 * @since 0.4
 */
public final class ElectionDelay {
    /**
     * Milliseconds of delay for each millisecond of latency. With this factor the 16 ms round trip
     * between two regions outweighs the 500 ms over which the claim delays of processes are spread.
     */
    private static final long DELAY_FACTOR = 40;

    /**
     * Maximum additional delay, in milliseconds: a third of a usual lease. After it a distant
     * process leads if there is no nearby one, and a store that is slow for all processes delays an
     * election no longer.
     */
    static final long MAX_DELAY_MILLIS = 1_000;

    /** Number of recent latencies kept, which covers some seconds of a hub's renewals. */
    private static final int SAMPLES = 8;

    private final long[] sampleMillis = new long[SAMPLES];
    private int answers;

    /**
     * Records an answer of the store.
     *
     * @param tookMillis how long it took, in milliseconds
     */
    public void answered(long tookMillis) {
        sampleMillis[answers % SAMPLES] = Math.max(0, tookMillis);
        answers++;
    }

    /**
     * Returns the time to wait in addition to the usual claim delay.
     *
     * @return milliseconds; 0 while the store has not answered
     */
    public long extraMillis() {
        if (answers == 0) {
            return 0;
        }
        long min = Long.MAX_VALUE;
        for (int i = 0; i < Math.min(answers, SAMPLES); i++) {
            min = Math.min(min, sampleMillis[i]);
        }
        return Math.min(MAX_DELAY_MILLIS, DELAY_FACTOR * min);
    }
}
