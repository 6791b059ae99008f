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
package io.trailladder.core.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Example;

class RunTimesTest {
    /** Enough runs for the mean to follow them. */
    private static final int RUNS = 300;

    private final RunTimes times = new RunTimes();

    private long turnAfter(long millis) {
        for (int i = 0; i < RUNS; i++) {
            times.ended("s", millis);
        }
        return times.turnMillis("s");
    }

    @Example
    void turnsSuitTheRunTimes() {
        assertEquals(0, times.turnMillis("s"), "none has ended");
        assertEquals(50, turnAfter(21));
        assertEquals(160, turnAfter(60));
        assertEquals(0, turnAfter(2_000), "reports tell enough");
        assertEquals(50, turnAfter(21), "they are short again");
        assertEquals(0, times.turnMillis("other"));
    }

    /** Guards against turns that follow a single slow request. */
    @Example
    void oneSlowRequestChangesNothing() {
        turnAfter(20);
        times.ended("s", 80);
        assertEquals(50, times.turnMillis("s"));
    }
}
