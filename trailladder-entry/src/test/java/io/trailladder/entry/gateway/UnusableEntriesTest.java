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

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Example;

class UnusableEntriesTest {
    private final UnusableEntries entries = new UnusableEntries("upstream");

    private int logged(int count, String fault, long nowMillis) {
        int logged = 0;
        for (int i = 0; i < count; i++) {
            logged += entries.add("odd-" + i, 7, fault, nowMillis) ? 1 : 0;
        }
        return logged;
    }

    /** Guards against a log that another writer fills with thousands of entries. */
    @Example
    void manyEntriesCauseFewLines() {
        assertEquals(LogRate.MAX_LINES, logged(5_000, "empty", 0));
        assertEquals(0, logged(5_000, "no JSON", LogRate.INTERVAL_MILLIS - 1));
        assertEquals(LogRate.MAX_LINES, logged(5_000, "deep", LogRate.INTERVAL_MILLIS));
        assertEquals(5_000, entries.size());
    }

    @Example
    void sameFaultIsLoggedOnce() {
        assertEquals(3, logged(3, "empty", 0));
        assertEquals(0, logged(3, "empty", 2 * LogRate.INTERVAL_MILLIS));
    }
}
