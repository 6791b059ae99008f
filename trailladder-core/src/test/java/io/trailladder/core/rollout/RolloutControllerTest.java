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
package io.trailladder.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.trailladder.core.rollout.RolloutController.Fleet;
import io.trailladder.core.rollout.RolloutController.Step;
import io.trailladder.core.rollout.RolloutStatus.State;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** What the leader decides at which time. */
class RolloutControllerTest {
    private static final int DURATION_MILLIS = 12_000;
    private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", DURATION_MILLIS, 7);
    private static final Fleet FLEET = new Fleet(12, 12, 40);
    private static final RolloutStatus IN_PROGRESS = new RolloutStatus("s", "v2", State.IN_PROGRESS, 8);
    private static final List<RouteEvidence> GOOD =
            List.of(new RouteEvidence("r", new AnswerCount(900, 2), new AnswerCount(90, 0)));

    private static Rollout rolloutWithDeadline() {
        return new Rollout(ORDER, new ExposureLedger(0.1, 0), 0);
    }

    private static Step step(Rollout rollout, List<RouteEvidence> evidence, long nowMillis) {
        return new RolloutController(rollout).next(evidence, IN_PROGRESS, FLEET, nowMillis);
    }

    /** A completion stops the old version, so that what it costs before the deadline is bounded. */
    @Property(tries = 500, seed = "20261203")
    void completionIsRecordedShortlyBeforeTheDeadlineAtTheEarliest(
            @ForAll @IntRange(min = 0, max = 30_000) int nowMillis) {
        Step step = step(rolloutWithDeadline(), GOOD, nowMillis);
        boolean isTime = nowMillis >= DURATION_MILLIS - RolloutController.COMPLETION_LEAD_MILLIS;
        assertEquals(isTime, step.record().equals(Optional.of(State.COMPLETED)));
    }

    @Example
    void undecidedVersionIsRolledBackBeforeTheDeadline() {
        Step step = step(rolloutWithDeadline(), List.of(), DURATION_MILLIS - 900);
        assertEquals(Optional.of(State.ROLLED_BACK), step.record());
    }

    /** A leader that was lost over the deadline goes on by what was seen. */
    @Example
    void resultAfterTheDeadlineUsesTheSameEvidence() {
        assertEquals(
                Optional.of(State.COMPLETED), step(rolloutWithDeadline(), GOOD, DURATION_MILLIS + 800).record());
        assertEquals(
                Optional.of(State.ROLLED_BACK),
                step(rolloutWithDeadline(), List.of(), DURATION_MILLIS + 800).record());
    }

    @Example
    void suspectVersionIsNotCompleted() {
        List<RouteEvidence> suspect =
                List.of(new RouteEvidence("r", new AnswerCount(3_000, 6), new AnswerCount(240, 5)));
        assertEquals(Optional.empty(), step(rolloutWithDeadline(), suspect, 6_000).record());
        assertEquals(Optional.of(State.ROLLED_BACK), step(rolloutWithDeadline(), suspect, 11_800).record());
    }

    @Example
    void switchLastsAsLongAsTheBoundAllows() {
        RolloutOrder hour = new RolloutOrder("s", "v2", 60_000, 7);
        Rollout rollout = new Rollout(hour, new ExposureLedger(0.1, 0), 0);
        assertEquals(RolloutPhase.SAMPLING, step(rollout, GOOD, 59_000).phase());
        assertEquals(RolloutPhase.SWITCHING, step(rollout, GOOD, 59_150).phase());
        assertEquals(Optional.empty(), step(rollout, GOOD, 59_150).record());
    }

    @Example
    void orderOfUnknownAgeIsNeverCompleted() {
        Rollout rollout = Rollout.ofUnknownAge(ORDER, new ExposureLedger(0.1, 0), 0);
        for (int now = 0; now < 40_000; now += 100) {
            Step step = step(rollout, GOOD, now);
            assertFalse(step.record().equals(Optional.of(State.COMPLETED)), "at " + now);
        }
        assertEquals(Optional.of(State.ROLLED_BACK), step(rollout, GOOD, 2_000).record());
    }

    /** An order of the past whose version serves alone must not take the service away. */
    @Example
    void onlyServingVersionIsNotRolledBack() {
        Rollout rollout = Rollout.ofUnknownAge(ORDER, new ExposureLedger(0.1, 0), 0);
        Fleet alone = new Fleet(0, 12, 0);
        Step step = new RolloutController(rollout).next(GOOD, IN_PROGRESS, alone, 60_000);
        assertEquals(Optional.empty(), step.record());
        assertEquals(RolloutPhase.SAMPLING, step.phase());
    }

    /** A process that starts anew takes the deadline from one that goes on. */
    @Example
    void deadlineIsTakenFromAPeer() {
        Rollout rollout = Rollout.ofUnknownAge(ORDER, new ExposureLedger(0.1, 0), 0);
        rollout.received(new RolloutUpdate(ORDER, RolloutPhase.SAMPLING, 5_000, 3, List.of()), 100);
        assertEquals(5_100, rollout.deadlineMillis());
        Step step = step(rollout, GOOD, 5_000);
        assertEquals(Optional.of(State.COMPLETED), step.record());
        Rollout other = Rollout.ofUnknownAge(ORDER, new ExposureLedger(0.1, 0), 0);
        other.received(rollout.update(List.of(), 5_000), 5_200);
        assertEquals(5_300, other.deadlineMillis());
    }

    /** What nobody knows does not become known by telling. */
    @Example
    void unknownDeadlineStaysUnknownAfterAPeerUpdate() {
        Rollout one = Rollout.ofUnknownAge(ORDER, new ExposureLedger(0.1, 0), 0);
        Rollout other = Rollout.ofUnknownAge(ORDER, new ExposureLedger(0.1, 0), 900_000);
        other.received(one.update(List.of(), 5_000), 901_000);
        assertFalse(other.isDeadlineKnown());
    }
}
