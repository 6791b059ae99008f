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
package io.trailladder.core.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The time that processes agree on while some clocks are wrong. */
class AgreedTimeProperties {
    private static final long TRUE_OFFSET = 1_000_000;
    private static final long STEP = 3_000;

    private static AgreedTime timeWithReports(int right, int wrong) {
        AgreedTime time = new AgreedTime();
        for (int i = 0; i < right + wrong; i++) {
            time.reported("p" + i, new TimeVote(TRUE_OFFSET + (i < right ? 0 : STEP), 1));
        }
        return time;
    }

    @Example
    void processWithoutPeersUsesItsOwnClock() {
        assertEquals(TRUE_OFFSET + STEP, new AgreedTime().millis(0, TRUE_OFFSET + STEP));
        assertEquals(TRUE_OFFSET + STEP, timeWithReports(1, 0).millis(0, TRUE_OFFSET + STEP));
    }

    /** Up to a third of the clocks are stepped, the own one among them, as a leader's may be. */
    @Property(tries = 200, seed = "20261203")
    void steppedClocksUpToAThirdAreOutvoted(@ForAll @IntRange(min = 4, max = 80) int processes) {
        int wrong = processes / 3;
        AgreedTime time = timeWithReports(processes - wrong, wrong - 1);
        assertEquals(TRUE_OFFSET, time.millis(0, TRUE_OFFSET + STEP));
    }

    @Example
    void voteOfAHubIsWeightedByItsVoters() {
        AgreedTime leaf = new AgreedTime();
        leaf.reported("hub", new TimeVote(TRUE_OFFSET, 70));
        assertEquals(TRUE_OFFSET, leaf.millis(0, TRUE_OFFSET + STEP));
        AgreedTime hub = timeWithReports(0, 2);
        hub.reported("other hub", new TimeVote(TRUE_OFFSET, 20));
        TimeVote vote = hub.vote(TRUE_OFFSET + STEP, List.of("p0", "p1", "other hub", "unknown"));
        assertEquals(new TimeVote(TRUE_OFFSET, 23), vote);
    }

    @Property(tries = 500, seed = "20261203")
    void theTimeNeverGoesBackward(
            @ForAll @Size(max = 40) List<@IntRange(min = -9_000, max = 9_000) Integer> steps) {
        AgreedTime time = new AgreedTime();
        List<Long> seen = new ArrayList<>();
        long steady = 0;
        for (int step : steps) {
            time.reported("p" + step % 3, new TimeVote(TRUE_OFFSET + step, 2));
            steady += 50;
            seen.add(time.millis(steady, TRUE_OFFSET));
        }
        for (int i = 1; i < seen.size(); i++) {
            assertTrue(seen.get(i) >= seen.get(i - 1), seen.toString());
        }
    }

    /** Two sides with clocks 2 s apart: each keeps its own while cut, and one after healing. */
    @Example
    void partitionedSidesAgreeOnceTheyExchangeVotes() {
        AgreedTime one = timeWithReports(5, 0);
        assertEquals(TRUE_OFFSET, one.millis(0, TRUE_OFFSET));
        one.reported("side", new TimeVote(TRUE_OFFSET + 2_000, 9));
        assertEquals(TRUE_OFFSET + 2_000, one.millis(0, TRUE_OFFSET));
        one.remove("side");
        assertEquals(TRUE_OFFSET + 2_000, one.millis(500, TRUE_OFFSET), "it stands still");
    }

    /** 200 parts in a million over a minute are 12 ms; counts of a 5 s window move by 0.24%. */
    @Example
    void driftingClockFollowsTheMedian() {
        long drifted = TRUE_OFFSET + 60_000 * 200 / 1_000_000;
        assertEquals(TRUE_OFFSET, timeWithReports(3, 0).millis(0, drifted));
    }

    @Example
    void invalidVotesAreNotCounted() {
        AgreedTime time = timeWithReports(3, 0);
        time.reported("nobody", new TimeVote(TRUE_OFFSET + STEP, 0));
        time.reported("crowd", new TimeVote(TRUE_OFFSET + STEP, Integer.MAX_VALUE));
        assertEquals(TRUE_OFFSET, time.millis(0, TRUE_OFFSET));
    }
}
