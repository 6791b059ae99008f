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
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.upstream.Upstream;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RolloutTest {
    private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", 12_000, 7);
    private static final Upstream OLD = upstream("a", "v1");
    private static final Upstream NEW = upstream("b", "v2");
    private static final List<Upstream> BOTH = List.of(OLD, NEW);

    private final Rollout rollout = new Rollout(ORDER, new ExposureLedger(1, 0.9), 0);

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", "z", "h:1", 8, false, false, 0, version, 0, 0);
    }

    @Example
    void nothingIsSampledWithoutALeader() {
        assertEquals(List.of(OLD), rollout.admitted(BOTH, true, 100));
        rollout.lead(RolloutPhase.SAMPLING, 200);
        assertEquals(List.of(NEW), rollout.admitted(BOTH, true, 300));
        long afterTimeout = 201 + Rollout.LEADER_TIMEOUT_MILLIS;
        assertEquals(List.of(OLD), rollout.admitted(BOTH, true, afterTimeout));
    }

    @Example
    void requestThatFailedBeforeIsNotSampled() {
        rollout.lead(RolloutPhase.SAMPLING, 0);
        assertEquals(List.of(OLD), rollout.admitted(BOTH, false, 100));
    }

    @Example
    void processThatObservesFailuresHaltsByItself() {
        rollout.lead(RolloutPhase.SAMPLING, 0);
        for (int i = 0; i < 100; i++) {
            rollout.answered(OLD, new AnswerObservation("r", false, 50, 50, 0, true), 0);
        }
        for (int i = 0; i < 6; i++) {
            rollout.answered(NEW, new AnswerObservation("r", true, 50, 50, 0, true), 0);
        }
        assertEquals(RolloutPhase.HALTED, rollout.phase());
        assertEquals(List.of(OLD), rollout.admitted(BOTH, true, 100));
    }

    @Example
    void lateAnswersOfAColdUpstreamAreNotBad() {
        Upstream cold = new Upstream("c", "s", "z", "h:1", 8, false, false, 0, "v2", 900, 0);
        for (int i = 0; i < 100; i++) {
            rollout.answered(OLD, new AnswerObservation("r", false, 50, 50, 0, true), 0);
            rollout.answered(cold, new AnswerObservation("r", false, 900, 50, 0, true), 0);
        }
        assertEquals(RolloutPhase.SAMPLING, rollout.phase());
        assertEquals(0, rollout.evidence().get(0).target().bad());
    }

    /** Guards against a version that is found bad for a delay that the old one has as well. */
    @Example
    void versionThatIsLateTogetherWithTheOldOneIsNotHalted() {
        rollout.lead(RolloutPhase.SAMPLING, 0);
        answerInTime(139);
        String interleaved = "ooonoonoonoonooono";
        for (int i = 0; i < interleaved.length(); i++) {
            Upstream upstream = interleaved.charAt(i) == 'n' ? NEW : OLD;
            rollout.answered(upstream, late(), 1_010 + 5L * i);
        }
        assertEquals(RolloutPhase.SAMPLING, rollout.phase());
        assertEquals(0, rollout.evidence().get(0).target().bad());
    }

    /** Guards against late answers that are excused by a delay of the old version before them. */
    @Example
    void versionThatIsLateByItselfIsHaltedAfterAsFewAnswersAsBefore() {
        rollout.lead(RolloutPhase.SAMPLING, 0);
        answerInTime(139);
        for (int i = 0; i < 13; i++) {
            rollout.answered(OLD, late(), 1_010 + 5L * i);
        }
        int answers = 0;
        while (rollout.phase() == RolloutPhase.SAMPLING && answers < 20) {
            rollout.answered(OLD, new AnswerObservation("r", false, 20, 20, 0, true), 2_000);
            rollout.answered(NEW, late(), 2_000 + 10L * answers++);
        }
        assertTrue(answers <= 5, answers + " late answers");
    }

    /**
     * Guards against a version that stays unjudged while single answers of the old one are late.
     */
    @Example
    void versionThatIsAlwaysLateIsHaltedThoughTheOldOneIsLateAtTimes() {
        rollout.lead(RolloutPhase.SAMPLING, 0);
        answerInTime(139);
        int answers = 0;
        while (rollout.phase() == RolloutPhase.SAMPLING && answers < 40) {
            answers++;
            for (int i = 0; i < 10; i++) {
                boolean slow = i == 0 && answers % 2 == 0;
                double millis = slow ? 400 : 20;
                rollout.answered(
                        OLD, new AnswerObservation("r", false, millis, 20, 0, true), 50L * answers);
            }
            rollout.answered(NEW, late(), 50L * answers);
        }
        assertTrue(answers <= 5, answers + " late answers");
    }

    private void answerInTime(int count) {
        for (int i = 0; i < count; i++) {
            rollout.answered(OLD, new AnswerObservation("r", false, 20, 20, 0, true), 5L * i);
        }
    }

    private static AnswerObservation late() {
        return new AnswerObservation("r", false, 400, 20, 0, true);
    }

    @Example
    void recordInTheStoreOverridesPeers() {
        rollout.received(new RolloutUpdate(ORDER, RolloutPhase.HALTED, 9_000, 1, List.of()), 0);
        rollout.recorded(new RolloutStatus("s", "v2", State.COMPLETED, 9), 100);
        assertEquals(List.of(NEW), rollout.admitted(BOTH, true, 200));
    }

    @Example
    void recordOfAnEarlierOrderIsIgnored() {
        rollout.recorded(new RolloutStatus("s", "v2", State.ROLLED_BACK, 5), 100);
        assertEquals(RolloutPhase.SAMPLING, rollout.phase());
    }

    @Example
    void rolledBackVersionGetsNothingEvenIfItIsTheOnlyOne() {
        rollout.recorded(new RolloutStatus("s", "v2", State.ROLLED_BACK, 9), 100);
        assertEquals(List.of(), rollout.admitted(List.of(NEW), true, 200));
    }

    @Example
    void laterReplacementServesAfterACompletion() {
        rollout.lead(RolloutPhase.SWITCHING, 0);
        rollout.admitted(BOTH, true, 100);
        rollout.recorded(new RolloutStatus("s", "v2", State.COMPLETED, 9), 200);
        Upstream later = upstream("c", "v3");
        List<Upstream> all = List.of(OLD, NEW, later);
        assertEquals(List.of(NEW), rollout.admitted(all, true, 300));
        assertEquals(List.of(NEW, later), rollout.admitted(all, true, 20_000));
    }

    @Example
    void withdrawnOrderStopsSampling() {
        rollout.lead(RolloutPhase.SAMPLING, 0);
        rollout.admitted(BOTH, true, 50);
        rollout.withdrawn(100);
        assertEquals(List.of(OLD), rollout.admitted(BOTH, true, 200));
    }

    @Example
    void requestsBeyondTheBoundWaitOnceTheOldVersionHasStopped() {
        Rollout spent = new Rollout(ORDER, new ExposureLedger(0.1, 0), 0);
        spent.admitted(BOTH, true, 0);
        spent.recorded(new RolloutStatus("s", "v2", State.COMPLETED, 9), 11_700);
        assertEquals(List.of(), spent.admitted(BOTH, true, 11_800));
        assertEquals(200, spent.waitMillis(11_800));
        assertEquals(0, spent.waitMillis(12_000));
        assertEquals(List.of(NEW), spent.admitted(BOTH, true, 12_000));
    }

    /** A process that learns of a completion long after it has no deadline to wait for. */
    @Example
    void waitIsAtMostTheCompletionLeadTime() {
        Rollout late = Rollout.ofUnknownAge(ORDER, new ExposureLedger(0.1, 0), 0);
        late.recorded(new RolloutStatus("s", "v2", State.COMPLETED, 9), 50_000);
        assertEquals(RolloutController.COMPLETION_LEAD_MILLIS, late.waitMillis(50_000));
        assertEquals(
                List.of(NEW),
                late.admitted(BOTH, true, 50_000 + RolloutController.COMPLETION_LEAD_MILLIS));
    }

    @Example
    void switchFallsBackToTheOldVersionBeyondTheBound() {
        Rollout moving = new Rollout(ORDER, new ExposureLedger(0.1, 0), 0);
        for (int i = 0; i < 100; i++) {
            moving.sent();
        }
        moving.lead(RolloutPhase.SWITCHING, 0);
        int moved = 0;
        while (moving.admitted(BOTH, false, 0).equals(List.of(NEW))) {
            moving.chosen(NEW);
            moved++;
        }
        assertEquals(9, moved);
        assertEquals(List.of(OLD), moving.admitted(BOTH, true, 0));
    }

    @Example
    void processThatWasCutOffServesWithWhatIsLeftAfterTheDeadline() {
        rollout.admitted(BOTH, true, 100);
        assertEquals(List.of(), rollout.admitted(List.of(NEW), true, 11_900));
        assertEquals(List.of(NEW), rollout.admitted(List.of(NEW), true, 12_100));
        assertEquals(List.of(OLD), rollout.admitted(BOTH, true, 12_100));
    }

    @Example
    void requestsThatAreNotSentAllowNoSamples() {
        ExposureLedger ledger = new ExposureLedger(0.1, 0.5);
        for (int i = 0; i < 100; i++) {
            ledger.chosen();
        }
        assertFalse(ledger.maySample());
        assertFalse(ledger.mayExpose());
        assertEquals(0, ledger.sentRequests());
    }

    @Property(tries = 300, seed = "20261202")
    void sharesOfAllIncarnationsStayWithinTheBound(
            @ForAll @IntRange(min = 1, max = 95) int processes,
            @ForAll @IntRange(min = 0, max = 20_000) int requests,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ExposureLedger[] ledgers = new ExposureLedger[processes];
        for (int i = 0; i < processes; i++) {
            ledgers[i] = ExposureLedger.of(0.1, 50, random);
        }
        int exposed = 0;
        for (int request = 0; request < requests; request++) {
            int at = random.nextInt(processes);
            if (random.nextInt(200) == 0) {
                ledgers[at] = ExposureLedger.of(0.1, 50, random);
            }
            boolean isTarget = ledgers[at].mayExpose();
            ledgers[at].sent();
            if (isTarget) {
                ledgers[at].chosen();
            }
            exposed += isTarget ? 1 : 0;
            assertTrue(exposed <= 0.1 * (request + 1) + 50);
        }
    }

    @Example
    void versionWithoutAnOrderIsDelayed() {
        VersionGate gate = new VersionGate();
        assertEquals(List.of(OLD), gate.admitted("s", List.of(OLD), true, 0));
        assertEquals(List.of(OLD), gate.admitted("s", BOTH, true, 1_000));
        assertEquals(
                BOTH,
                gate.admitted("s", BOTH, true, 1_000 + VersionGate.UNORDERED_VERSION_DELAY_MILLIS));
        assertFalse(gate.rollout("s").isPresent());
    }

    @Example
    void allVersionsOfTheFirstListServeAtOnce() {
        assertEquals(BOTH, new VersionGate().admitted("s", BOTH, true, 0));
    }
}
