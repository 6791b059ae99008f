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
package io.trailladder.core.membership;

/**
 * A number of processes that rises at once and falls late. A process whose entry has lapsed may
 * still run, and goes on with the part of a limit that belongs to it.
 *
 * @since 0.5
 */
public final class HeldCount {
    /**
     * Time without a call, in milliseconds, that does not count: this process did not run, and what
     * it reads first may be outdated.
     */
    private static final long MAX_PAUSE_MILLIS = 1_000;

    private final long holdMillis;
    private int held;
    private long confirmedMillis;
    private long recordedMillis;

    /**
     * Creates a count of 0.
     *
     * @param holdMillis the time after which a lower number counts, in milliseconds
     */
    public HeldCount(long holdMillis) {
        this.holdMillis = holdMillis;
    }

    /**
     * Records a number. To be called several times a second.
     *
     * @param count the number of processes that are known now
     * @param nowMillis the current time, in milliseconds
     * @return the number that counts: the largest of late
     */
    public int record(int count, long nowMillis) {
        if (nowMillis - recordedMillis > MAX_PAUSE_MILLIS) {
            confirmedMillis = nowMillis;
        }
        recordedMillis = nowMillis;
        if (count >= held || nowMillis - confirmedMillis >= holdMillis) {
            held = count;
            confirmedMillis = nowMillis;
        }
        return held;
    }
}
