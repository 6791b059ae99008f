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
 * How much longer a process waits before it asks to lead, the farther it is from the store: a
 * leader's calls all go there, so one that stands near costs least and loses its lease last.
 *
 * <p>The least of the last answers tells the way, since a busy store or process only adds to it.
 *
 * @since 0.4
 */
public final class ElectionDelay {
    /**
     * Patience for each millisecond of an answer: the 16 ms there and back between two regions
     * outweigh the half second over which the patience of processes is spread.
     */
    private static final long DELAY_FACTOR = 40;

    /**
     * Most that is waited in addition, in milliseconds: a third of a usual lease, after which a far
     * process leads if no near one does, and no more than that while the store is slow for all.
     */
    static final long MAX_DELAY_MILLIS = 1_000;

    /** Answers that are remembered: some seconds of a hub's renewals. */
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
     * Returns how long to wait beyond the usual patience.
     *
     * @return milliseconds; 0 while the store has not answered
     */
    public long extraMillis() {
        if (answers == 0) {
            return 0;
        }
        long least = Long.MAX_VALUE;
        for (int i = 0; i < Math.min(answers, SAMPLES); i++) {
            least = Math.min(least, sampleMillis[i]);
        }
        return Math.min(MAX_DELAY_MILLIS, DELAY_FACTOR * least);
    }
}
