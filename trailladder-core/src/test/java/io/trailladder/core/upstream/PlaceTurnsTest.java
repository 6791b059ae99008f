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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class PlaceTurnsTest {
    private static final long MILLIS = 50;

    private static PlaceTurns turns(int slots, int index, int count) {
        Upstream upstream = new Upstream("w", "s", "a", "h:1", slots, false, false, 0);
        return new PlaceTurns(upstream, new SendSlotOrder(index, count), MILLIS);
    }

    /** Guards against processes that together use more or fewer slots than there are. */
    @Property(seed = "1")
    void partsAddUpToTheSlots(
            @ForAll @IntRange(min = 1, max = 64) int slots,
            @ForAll @IntRange(min = 1, max = 340) int count,
            @ForAll @LongRange(min = 0, max = 2_000_000_000_000L) long agreedMillis) {
        int sum =
                IntStream.range(0, count)
                        .map(index -> turns(slots, index, count).part(agreedMillis))
                        .sum();
        assertEquals(slots, sum);
    }

    /** Guards against callers that are told to return when this process has no part either. */
    @Property(seed = "2")
    void afterTheWaitThisProcessHasAPart(
            @ForAll @IntRange(min = 1, max = 64) int slots,
            @ForAll @IntRange(min = 0, max = 339) int index,
            @ForAll @LongRange(min = 0, max = 2_000_000_000_000L) long agreedMillis) {
        PlaceTurns turns = turns(slots, index, 340);
        long wait = turns.untilNextOwnMillis(agreedMillis);
        assertTrue(turns.part(agreedMillis + wait) > 0);
        for (long at = MILLIS; at < wait; at += MILLIS) {
            long earlier = agreedMillis + wait - at;
            assertEquals(0, turns.part(earlier), "a turn before");
        }
    }
}
