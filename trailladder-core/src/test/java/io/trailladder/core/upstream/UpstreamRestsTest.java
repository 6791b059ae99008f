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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Rests that upstreams ask for: when they begin, what they bound, how they end. */
class UpstreamRestsTest {
    private static final long START = 1_000_000;

    private final UpstreamRests rests = new UpstreamRests();
    private final Upstream upstream = life(7);

    private static Upstream life(long bornMillis) {
        return new Upstream("w", "s", "a", "h:1", 8, false, false, 0, "v1", 0, bornMillis);
    }

    @Example
    void restEndsWithItsTime() {
        assertTrue(rests.asked(upstream, 300, START));
        assertEquals(300, rests.leftMillis(upstream, START));
        assertEquals(1, rests.leftMillis(upstream, START + 299));
        assertEquals(0, rests.leftMillis(upstream, START + 300));
        assertEquals(1, rests.count(START + 299));
        assertEquals(0, rests.count(START + 300));
    }

    @Example
    void restEndsWithTheLifeThatAskedForIt() {
        rests.asked(upstream, 3_000, START);
        assertEquals(0, rests.leftMillis(life(8), START + 100));
        assertTrue(rests.asked(life(8), 3_000, START + 100), "a rest of its own");
    }

    /** Answers overtake one another: the one that asks for less may be the older one. */
    @Property(tries = 200, seed = "20261203")
    void noAnswerShortensARest(
            @ForAll @Size(min = 1, max = 8) long[] askedFor,
            @ForAll @LongRange(min = 0, max = 500) long apart) {
        UpstreamRests fresh = new UpstreamRests();
        long until = 0;
        long now = START;
        for (long asked : askedFor) {
            long millis = Math.floorMod(asked, 5_000L) + 1;
            fresh.asked(upstream, millis, now);
            until = Math.max(until, now + millis);
            assertEquals(until - now, fresh.leftMillis(upstream, now));
            now += apart;
            until = Math.max(until, now);
        }
    }

    @Property(tries = 200, seed = "20261203")
    void noValueLeavesAnUpstreamOutForGood(@ForAll @LongRange(min = 1) long asked) {
        UpstreamRests fresh = new UpstreamRests();
        fresh.asked(upstream, asked, START);
        long left = fresh.leftMillis(upstream, START);
        assertTrue(left > 0 && left <= UpstreamRests.LONGEST_MILLIS, left + " ms");
    }

    @Example
    void returnIsPacedUntilARequestIsTaken() {
        rests.asked(upstream, 1_000, START);
        long over = START + 1_000;
        assertFalse(rests.isReturning(upstream, over));
        rests.sent(upstream, over);
        assertTrue(rests.isReturning(upstream, over + UpstreamRests.RETURN_PAUSE_MILLIS - 1));
        assertFalse(rests.isReturning(upstream, over + UpstreamRests.RETURN_PAUSE_MILLIS));
        rests.sent(upstream, over + UpstreamRests.RETURN_PAUSE_MILLIS);
        rests.taken(upstream, over + UpstreamRests.RETURN_PAUSE_MILLIS + 1);
        assertFalse(rests.isReturning(upstream, over + UpstreamRests.RETURN_PAUSE_MILLIS + 1));
        assertTrue(rests.isEmpty());
    }

    /** What it took before goes on while it rests. */
    @Example
    void answerOfAnEarlierRequestDoesNotEndARest() {
        rests.asked(upstream, 1_000, START);
        rests.taken(upstream, START + 500);
        assertEquals(500, rests.leftMillis(upstream, START + 500));
    }

    @Example
    void upstreamsThatAreGoneAreForgottenAfterTheirRest() {
        UpstreamDirectory directory = new UpstreamDirectory();
        rests.asked(upstream, 1_000, START);
        rests.forgetGone(directory, START + 999);
        assertFalse(rests.isEmpty(), "its entry may have lapsed and come back");
        rests.forgetGone(directory, START + 1_000);
        assertTrue(rests.isEmpty());
    }
}
