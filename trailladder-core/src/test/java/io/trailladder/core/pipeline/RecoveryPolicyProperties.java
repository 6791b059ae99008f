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
package io.trailladder.core.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.pipeline.Recovery.GiveUp;
import io.trailladder.core.pipeline.Recovery.Resume;
import io.trailladder.core.pipeline.Recovery.Retry;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ServiceShare;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against repeating a request that may have run and must not be repeated, and against
 * reporting "not run" when that is not certain.
 */
class RecoveryPolicyProperties {
    private static final long NOW = 1_000;

    private static ServingRequest request(RouteKind kind, boolean resumable, int attempts) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        kind,
                        600,
                        100,
                        0,
                        List.of(new ServiceShare("s", 1)),
                        attempts,
                        false,
                        false,
                        resumable);
        return new ServingRequest("id", "t", route, "s", 0, Prompt.NONE, 0, NOW, NOW + 10_000, 1);
    }

    /**
     * Applies failures until the request is given up; returns how it ended, or null if it goes on.
     */
    private static Ending endingAfter(
            ServingRequest request, AttemptHistory history, List<AttemptFailure> failures) {
        Recovery recovery = new Retry();
        int upstream = 0;
        for (AttemptFailure failure : failures) {
            String name = "w" + upstream++;
            if (failure != AttemptFailure.UNREACHABLE) {
                assertFalse(
                        history.mayHaveRun() && !request.route().repeatable(),
                        "sent again after it may have run");
                history.sent(name);
            }
            assertNotRunIsCertain(history, failure != AttemptFailure.UNREACHABLE);
            history.failed(name, failure);
            recovery = RecoveryPolicy.after(request, history, failure, true, NOW);
            if (recovery instanceof GiveUp giveUp) {
                return giveUp.ending();
            }
        }
        return null;
    }

    /** Checks how the request would end now, at its deadline or because its process stops. */
    private static void assertNotRunIsCertain(AttemptHistory history, boolean underWay) {
        if (underWay) {
            assertEquals(Ending.MAY_HAVE_RUN, RecoveryPolicy.endingOf(history));
            assertEquals(Ending.TIMED_OUT, RecoveryPolicy.endingAtDeadline(history));
        }
    }

    /**
     * Guards against "not run" for a request that ends while the failure of its attempt is open.
     */
    @Example
    void anAttemptMayHaveRunUntilItsFailureIsKnown() {
        AttemptHistory history = new AttemptHistory();
        history.sent("w0");
        assertNotRunIsCertain(history, true);
        history.failed("w0", AttemptFailure.NOT_EXECUTED);
        assertEquals(Ending.NOT_RUN, RecoveryPolicy.endingOf(history));
        history.sent("w1");
        history.failed("w1", AttemptFailure.PATH_LOST);
        assertNotRunIsCertain(history, true);
    }

    @Property
    void unsafeRequestIsNotRepeatedAndNotRunIsCertain(
            @ForAll @Size(min = 1, max = 6) List<AttemptFailure> failures,
            @ForAll @IntRange(min = 1, max = 4) int attempts) {
        AttemptHistory history = new AttemptHistory();
        Ending ending = endingAfter(request(RouteKind.UNSAFE, false, attempts), history, failures);
        if (ending == Ending.NOT_RUN) {
            assertFalse(history.mayHaveRun());
        }
    }

    @Property
    void noRequestIsSentToMoreUpstreamsThanItsRouteAllows(
            @ForAll @Size(min = 1, max = 10) List<AttemptFailure> failures,
            @ForAll @IntRange(min = 1, max = 4) int attempts) {
        AttemptHistory history = new AttemptHistory();
        endingAfter(request(RouteKind.SAFE, false, attempts), history, failures);
        assertTrue(history.sent() <= attempts);
    }

    @Example
    void streamResumesAfterItsLastCompleteEvent() {
        AttemptHistory history = new AttemptHistory();
        history.sent("w0");
        history.answerStarted();
        history.eventForwarded("7");
        history.failed("w0", AttemptFailure.BROKEN);
        ServingRequest request = request(RouteKind.STREAMING, true, 2);
        Recovery recovery =
                RecoveryPolicy.after(request, history, AttemptFailure.BROKEN, true, NOW);
        assertEquals("7", assertInstanceOf(Resume.class, recovery).lastEventId());
    }

    /** Guards against resuming before an event that the caller has. */
    @Example
    void streamIsResumedOnlyAfterAnEventWithAnId() {
        ServingRequest request = request(RouteKind.STREAMING, true, 2);
        AttemptHistory history = new AttemptHistory();
        history.sent("w0");
        history.answerStarted();
        history.eventForwarded("7");
        history.eventForwarded("");
        history.failed("w0", AttemptFailure.BROKEN);
        assertEquals(
                new GiveUp(Ending.BROKEN_OFF),
                RecoveryPolicy.after(request, history, AttemptFailure.BROKEN, true, NOW));
        history.eventForwarded("8");
        assertEquals(
                new Resume("8"),
                RecoveryPolicy.after(request, history, AttemptFailure.BROKEN, true, NOW));
    }

    @Example
    void streamThatMayNotBeResumedIsBrokenOff() {
        AttemptHistory history = new AttemptHistory();
        history.sent("w0");
        history.answerStarted();
        history.failed("w0", AttemptFailure.BROKEN);
        ServingRequest request = request(RouteKind.STREAMING, false, 2);
        Recovery recovery =
                RecoveryPolicy.after(request, history, AttemptFailure.BROKEN, true, NOW);
        assertEquals(Ending.BROKEN_OFF, assertInstanceOf(GiveUp.class, recovery).ending());
    }

    @Example
    void emptyRetryBudgetEndsARepeatableRequest() {
        AttemptHistory history = new AttemptHistory();
        history.sent("w0");
        history.failed("w0", AttemptFailure.NOT_EXECUTED);
        ServingRequest request = request(RouteKind.SAFE, false, 3);
        Recovery recovery =
                RecoveryPolicy.after(request, history, AttemptFailure.NOT_EXECUTED, false, NOW);
        assertEquals(Ending.NOT_RUN, assertInstanceOf(GiveUp.class, recovery).ending());
    }

    @Example
    void misdirectedAttemptIsNotCounted() {
        AttemptHistory history = new AttemptHistory();
        history.sent("w0");
        history.failed("w0", AttemptFailure.MISDIRECTED);
        ServingRequest request = request(RouteKind.UNSAFE, false, 1);
        assertInstanceOf(
                Retry.class,
                RecoveryPolicy.after(request, history, AttemptFailure.MISDIRECTED, true, NOW));
    }

    @Property
    void failureBeforeSendingAllowsARetry(@ForAll AttemptFailure failure) {
        AttemptHistory history = new AttemptHistory();
        history.failed("w0", failure.beforeSending());
        assertFalse(history.mayHaveRun());
        ServingRequest request = request(RouteKind.UNSAFE, false, 2);
        assertInstanceOf(
                Retry.class,
                RecoveryPolicy.after(request, history, failure.beforeSending(), true, NOW));
    }

    @Property
    void failureWithoutExecutionIsUnchangedBeforeSending(@ForAll AttemptFailure failure) {
        boolean certain = !failure.mayHaveRun();
        assertEquals(certain ? failure : AttemptFailure.NOT_SENT, failure.beforeSending());
    }
}
