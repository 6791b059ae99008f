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
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import net.jqwik.api.Example;

/** The agreed time as digests carry it. */
class TimePartTest {
    private static final long TRUE_MILLIS = 1_700_000_000_000L;

    private static TimePart part(long aheadMillis) {
        Instant time = Instant.ofEpochMilli(TRUE_MILLIS + aheadMillis);
        return new TimePart(Clock.fixed(time, ZoneOffset.UTC), () -> 500);
    }

    private static DigestSection own(TimePart from) {
        return from.write(DigestScope.OWN, List.of(), 0).orElseThrow();
    }

    @Example
    void processWithASteppedClockFollowsTheOthers() throws IOException {
        TimePart stepped = part(-3_000);
        stepped.received("a", own(part(0)), 0);
        stepped.received("b", own(part(1)), 0);
        assertEquals(TRUE_MILLIS, stepped.millis());
    }

    @Example
    void hubReportsTheMedianOfItsLeavesWithTheirNumber() throws IOException {
        TimePart hub = part(2_400);
        hub.received("a", own(part(0)), 0);
        hub.received("b", own(part(0)), 0);
        TimePart leaf = part(-9_000);
        leaf.received("hub", hub.write(DigestScope.REST, List.of("a", "b"), 0).orElseThrow(), 0);
        assertEquals(TRUE_MILLIS, leaf.millis());
    }

    @Example
    void reportsOfAForgottenPeerAreDropped() throws IOException {
        TimePart part = part(3_000);
        part.received("a", own(part(0)), 0);
        part.received("b", own(part(0)), 0);
        part.forget("a");
        part.forget("b");
        assertEquals(TRUE_MILLIS + 3_000, part.millis());
    }

    @Example
    void malformedBodiesAreRefused() {
        TimePart part = part(0);
        DigestSection shorter = new DigestSection("time", 1, 0, new byte[3]);
        assertThrows(IOException.class, () -> part.received("a", shorter, 0));
        DigestSection ofNobody = new DigestSection("time", 1, 0, new byte[12]);
        assertThrows(IOException.class, () -> part.received("a", ofNobody, 0));
        assertEquals(TRUE_MILLIS, part.millis());
    }
}
