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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class LineQueueTest {
    private static final int MAX_LINES = 4_096;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final LineQueue queue = new LineQueue(out);

    private List<String> written() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Example
    void linesAreWrittenInOrder() {
        queue.add("one");
        queue.add("größer");
        assertEquals(List.of(), written());
        queue.flush();
        queue.add("three");
        queue.flush();
        assertEquals(List.of("one", "größer", "three"), written());
    }

    @Example
    void linesBeyondTheBoundAreDroppedAndCounted() {
        for (int i = 0; i < MAX_LINES + 3; i++) {
            queue.add(i);
        }
        queue.flush();
        assertEquals("{\"level\":\"WARN\",\"dropped_lines\":3}", written().get(0));
        assertEquals(Integer.toString(MAX_LINES - 1), written().get(MAX_LINES));
        assertEquals(MAX_LINES + 1, written().size());
        queue.add("later");
        queue.flush();
        assertEquals("later", written().get(MAX_LINES + 1));
    }

    @Property(tries = 300)
    void timesReadBackToTheMicrosecond(
            @ForAll @LongRange(min = -1_000, max = 5_000_000_000L) long second,
            @ForAll @IntRange(max = 999_999_999) int nanos) {
        Instant time = Instant.ofEpochSecond(second, nanos);
        String text = LineTime.text(time);
        assertEquals(time.truncatedTo(ChronoUnit.MICROS), Instant.parse(text));
        assertTrue(text.matches(".*\\.\\d{6}Z"), text);
    }
}
