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
package io.trailladder.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.limit.RetryBudget;
import io.trailladder.core.request.GenerationAction.Cancel;
import io.trailladder.core.request.GenerationAction.Complete;
import io.trailladder.core.request.GenerationAction.Dispatch;
import io.trailladder.core.request.GenerationAction.Export;
import io.trailladder.core.request.GenerationAction.Fail;
import io.trailladder.core.request.GenerationAction.WakeAt;
import java.util.List;
import net.jqwik.api.Example;

/** One request's way under faults of its upstreams. */
class GenerationMachineTest {
    private static final GenerationMachine.Settings SETTINGS =
            new GenerationMachine.Settings(100, 10_000, 20_000, 25, 500, true);

    private final AnswerLog log = new AnswerLog();
    private final GenerationMachine machine =
            new GenerationMachine(SETTINGS, new RetryBudget(), log, 0);

    private void run(int tokens) {
        machine.start();
        machine.placed("e1", 0);
        for (int i = 0; i < tokens; i++) {
            machine.token(1, i, "t" + i, i);
        }
    }

    private static <T> T only(Class<T> type, List<GenerationAction> actions) {
        return actions.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no " + type + " in " + actions));
    }

    @Example
    void answerIsWholeOnlyWithItsEndAndItsLength() {
        run(2);
        assertFalse(log.isComplete());
        assertInstanceOf(Complete.class, machine.ended(1, 2, 5).get(0));
        assertTrue(log.isComplete());
        assertEquals("t0t1", log.text());
    }

    @Example
    void endWithAnotherLengthIsABrokenAnswer() {
        run(2);
        machine.ended(1, 3, 5);
        assertFalse(log.isComplete());
        assertFalse(machine.isEnded());
    }

    @Example
    void duplicateAndLateFramesNeverReachTheAnswer() {
        run(2);
        machine.token(1, 1, "again", 5);
        machine.attemptFailed(1, true, 6);
        machine.tick(100);
        machine.placed("e2", 100);
        machine.token(1, 2, "late", 101);
        machine.ended(1, 2, 102);
        assertEquals("t0t1", log.text());
        assertFalse(machine.isEnded());
        assertEquals(3, machine.droppedFrames());
    }

    @Example
    void tokenAfterAGapBreaksTheAttempt() {
        run(1);
        only(Cancel.class, machine.token(1, 5, "gap", 5));
        assertEquals("t0", log.text());
    }

    @Example
    void brokenAnswerIsContinuedElsewhereFromItsTokens() {
        run(3);
        WakeAt wake = only(WakeAt.class, machine.attemptFailed(1, true, 10));
        machine.tick(wake.atMillis());
        Dispatch dispatch = only(Dispatch.class, machine.placed("e2", wake.atMillis()));
        assertEquals(new Dispatch(3, "e2", 3, ""), dispatch);
    }

    @Example
    void noticeMovesTheRequestWithItsExportedCache() {
        run(3);
        machine.leaving("e1", 2_000, 10);
        Export export = only(Export.class, machine.placed("e2", 11));
        assertEquals("e1", export.upstream());
        machine.token(1, 3, "t3", 20);
        List<GenerationAction> moved = machine.exported(1, "kv-1");
        only(Cancel.class, moved);
        assertEquals(new Dispatch(2, "e2", 4, "kv-1"), only(Dispatch.class, moved));
    }

    @Example
    void exportSlowerThanTheNoticeIsAbandoned() {
        run(3);
        machine.leaving("e1", 2_000, 10);
        machine.placed("e2", 11);
        Dispatch dispatch = only(Dispatch.class, machine.tick(2_010));
        assertEquals("", dispatch.kvHandle());
    }

    @Example
    void shortNoticeSkipsTheExport() {
        run(3);
        machine.leaving("e1", 200, 10);
        assertEquals("", only(Dispatch.class, machine.placed("e2", 11)).kvHandle());
    }

    @Example
    void nearlyFinishedRequestStaysWhereItIs() {
        run(98);
        assertTrue(machine.leaving("e1", 2_000, 100).isEmpty());
    }

    @Example
    void upstreamThatFailsWhileMovingIsReplacedAtOnce() {
        run(3);
        machine.leaving("e1", 2_000, 10);
        WakeAt wake = only(WakeAt.class, machine.attemptFailed(1, true, 50));
        assertEquals(50, wake.atMillis());
        machine.tick(50);
        assertEquals(3, only(Dispatch.class, machine.placed("e3", 50)).resumeFrom());
    }

    @Example
    void requestWithoutCapacityWaitsAndThenFailsAsNotRun() {
        machine.start();
        only(WakeAt.class, machine.notPlaced(700, 100));
        Fail fail = only(Fail.class, machine.notPlaced(700, 10_000));
        assertEquals(Outcome.NOT_RUN, fail.failure().outcome());
        assertEquals(700, fail.failure().retryAfterMillis());
    }

    @Example
    void requestThatWasSentNeverFailsAsNotRun() {
        run(0);
        machine.attemptFailed(1, true, 5);
        machine.tick(100);
        Fail fail = only(Fail.class, machine.notPlaced(700, 20_100));
        assertEquals(Outcome.UNKNOWN, fail.failure().outcome());
    }

    @Example
    void requestThatMayNotBeRepeatedIsNeverSentAgain() {
        GenerationMachine once =
                new GenerationMachine(
                        new GenerationMachine.Settings(100, 10_000, 20_000, 25, 500, false),
                        new RetryBudget(),
                        log,
                        0);
        once.start();
        once.placed("e1", 0);
        once.leaving("e1", 200, 1);
        assertTrue(once.placed("e2", 2).isEmpty());
        assertEquals("e1", once.upstream());
        Fail fail = only(Fail.class, once.attemptFailed(1, true, 10));
        assertEquals(Outcome.UNKNOWN, fail.failure().outcome());
    }

    @Example
    void requestOfWhichNoByteLeftMayGoElsewhereThoughNotRepeatable() {
        GenerationMachine once =
                new GenerationMachine(
                        new GenerationMachine.Settings(100, 10_000, 20_000, 25, 500, false),
                        new RetryBudget(),
                        log,
                        0);
        once.start();
        once.placed("e1", 0);
        only(WakeAt.class, once.attemptFailed(1, false, 10));
        once.tick(50);
        assertEquals("e2", only(Dispatch.class, once.placed("e2", 50)).upstream());
    }
}
