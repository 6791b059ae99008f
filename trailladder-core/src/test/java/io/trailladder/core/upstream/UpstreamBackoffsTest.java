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
class UpstreamBackoffsTest {
    private static final long START = 1_000_000;

    private final UpstreamBackoffs backoffs = new UpstreamBackoffs();
    private final Upstream upstream = incarnation(7);

    private static Upstream incarnation(long bornMillis) {
        return new Upstream("w", "s", "a", "h:1", 8, false, false, 0, "v1", 0, bornMillis);
    }

    @Example
    void backoffEndsAfterItsDuration() {
        assertTrue(backoffs.backoffRequested(upstream, 300, START));
        assertEquals(300, backoffs.remainingMillis(upstream, START));
        assertEquals(1, backoffs.remainingMillis(upstream, START + 299));
        assertEquals(0, backoffs.remainingMillis(upstream, START + 300));
        assertEquals(1, backoffs.count(START + 299));
        assertEquals(0, backoffs.count(START + 300));
    }

    @Example
    void backoffEndsWithTheIncarnationThatRequestedIt() {
        backoffs.backoffRequested(upstream, 3_000, START);
        assertEquals(0, backoffs.remainingMillis(incarnation(8), START + 100));
        assertTrue(backoffs.backoffRequested(incarnation(8), 3_000, START + 100), "a rest of its own");
    }

    /** Answers overtake one another: the one that asks for less may be the older one. */
    @Property(tries = 200, seed = "20261203")
    void noAnswerShortensABackoff(
            @ForAll @Size(min = 1, max = 8) long[] askedFor,
            @ForAll @LongRange(min = 0, max = 500) long apart) {
        UpstreamBackoffs fresh = new UpstreamBackoffs();
        long until = 0;
        long now = START;
        for (long asked : askedFor) {
            long millis = Math.floorMod(asked, 5_000L) + 1;
            fresh.backoffRequested(upstream, millis, now);
            until = Math.max(until, now + millis);
            assertEquals(until - now, fresh.remainingMillis(upstream, now));
            now += apart;
            until = Math.max(until, now);
        }
    }

    @Property(tries = 200, seed = "20261203")
    void noValueExcludesAnUpstreamPermanently(@ForAll @LongRange(min = 1) long asked) {
        UpstreamBackoffs fresh = new UpstreamBackoffs();
        fresh.backoffRequested(upstream, asked, START);
        long left = fresh.remainingMillis(upstream, START);
        assertTrue(left > 0 && left <= UpstreamBackoffs.MAX_BACKOFF_MILLIS, left + " ms");
    }

    @Example
    void recoveryIsPacedUntilARequestIsAccepted() {
        backoffs.backoffRequested(upstream, 1_000, START);
        long over = START + 1_000;
        assertFalse(backoffs.isRecovering(upstream, over));
        backoffs.sent(upstream, over);
        assertTrue(backoffs.isRecovering(upstream, over + UpstreamBackoffs.RECOVERY_INTERVAL_MILLIS - 1));
        assertFalse(backoffs.isRecovering(upstream, over + UpstreamBackoffs.RECOVERY_INTERVAL_MILLIS));
        backoffs.sent(upstream, over + UpstreamBackoffs.RECOVERY_INTERVAL_MILLIS);
        backoffs.requestAccepted(upstream, over + UpstreamBackoffs.RECOVERY_INTERVAL_MILLIS + 1);
        assertFalse(backoffs.isRecovering(upstream, over + UpstreamBackoffs.RECOVERY_INTERVAL_MILLIS + 1));
        assertTrue(backoffs.isEmpty());
    }

    /** What it took before goes on while it rests. */
    @Example
    void answerOfAnEarlierRequestDoesNotEndABackoff() {
        backoffs.backoffRequested(upstream, 1_000, START);
        backoffs.requestAccepted(upstream, START + 500);
        assertEquals(500, backoffs.remainingMillis(upstream, START + 500));
    }

    @Example
    void unlistedUpstreamsAreEvictedAfterTheirBackoff() {
        UpstreamDirectory directory = new UpstreamDirectory();
        backoffs.backoffRequested(upstream, 1_000, START);
        backoffs.evictUnlisted(directory, START + 999);
        assertFalse(backoffs.isEmpty(), "its entry may have lapsed and come back");
        backoffs.evictUnlisted(directory, START + 1_000);
        assertTrue(backoffs.isEmpty());
    }
}
