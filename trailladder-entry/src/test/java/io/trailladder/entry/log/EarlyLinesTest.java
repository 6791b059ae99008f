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
package io.trailladder.entry.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class EarlyLinesTest {
    private final List<String> written = new ArrayList<>();

    /** A line whose text is made when it is written. */
    private Object line(String text) {
        return new Object() {
            @Override
            public String toString() {
                written.add(text);
                return text;
            }
        };
    }

    @Example
    void linesAreKeptInOrderUntilTheyAreReleased() {
        assertFalse(EarlyLines.keep(line("before")));
        EarlyLines.hold();
        assertTrue(EarlyLines.keep(line("one")));
        assertTrue(EarlyLines.keep(line("two")));
        assertEquals(List.of(), written);
        EarlyLines.release();
        assertEquals(List.of("one", "two"), written);
        assertFalse(EarlyLines.keep(line("after")));
    }
}
