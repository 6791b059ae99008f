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
package io.trailladder.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against reusing connections for longer than their server announces to keep them. */
class KeepAliveTest {
    private static long reuseMillis(String value) {
        return KeepAlive.reuseMillis(HeaderList.of("Keep-Alive", value));
    }

    @Example
    void halfOfTheAnnouncedTimeIsUsed() {
        for (String value :
                List.of(
                        "4",
                        "timeout=4",
                        "timeout=4, max=100",
                        "max=9, timeout=4",
                        "timeout = 4")) {
            assertEquals(2_000, reuseMillis(value), value);
        }
        assertEquals(0, reuseMillis("timeout=0"), "not reused");
        assertEquals(500, reuseMillis("1"));
    }

    @Example
    void unknownFormCountsAsNotSpecified() {
        assertEquals(KeepAlive.NOT_SPECIFIED, KeepAlive.reuseMillis(HeaderList.EMPTY));
        for (String value : List.of("", "max=100", "timeout=", "timeout=x", "-1", "1.5", "soon")) {
            assertEquals(KeepAlive.NOT_SPECIFIED, reuseMillis(value), value);
        }
    }

    @Property(tries = 1_000, seed = "20261203")
    void noValueThrows(@ForAll String value) {
        assertTrue(reuseMillis(value) >= 0);
    }
}
