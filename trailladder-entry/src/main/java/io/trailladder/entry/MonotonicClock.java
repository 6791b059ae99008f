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
package io.trailladder.entry;

/**
 * A monotonic clock.
 *
 * @since 0.1
 */
public final class MonotonicClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private MonotonicClock() {}

    /**
     * Returns the time since an arbitrary origin, which is fixed for the process.
     *
     * @return the time, in milliseconds
     */
    public static long millis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
