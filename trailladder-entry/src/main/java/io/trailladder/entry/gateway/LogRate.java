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
package io.trailladder.entry.gateway;

/** Limits how many lines about the same subject are logged: other writers may cause thousands. */
final class LogRate {
    /** Maximum number of log lines in {@link #INTERVAL_MILLIS}. */
    static final int MAX_LINES = 20;

    static final long INTERVAL_MILLIS = 10_000;

    private long sinceMillis;
    private int lines;

    /** Returns whether another line may be logged, and counts it. */
    boolean allows(long nowMillis) {
        if (nowMillis - sinceMillis >= INTERVAL_MILLIS) {
            sinceMillis = nowMillis;
            lines = 0;
        }
        return lines++ < MAX_LINES;
    }
}
