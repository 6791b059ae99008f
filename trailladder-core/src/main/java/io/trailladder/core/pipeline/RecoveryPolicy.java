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

import io.trailladder.core.pipeline.Recovery.GiveUp;
import io.trailladder.core.pipeline.Recovery.Resume;
import io.trailladder.core.pipeline.Recovery.Retry;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;

/**
 * Decides on the action after a failed attempt.
 *
 * <p>A request that may not be repeated is never sent again once an attempt may have run. The
 * caller is told that a request has not run only if no attempt may have run.
 *
 * @since 0.2
 */
public final class RecoveryPolicy {
    /** Highest number of connections of one request that may fail. */
    public static final int MAX_CONNECT_FAILURES = 3;

    /** Shortest time before the deadline in which another attempt is made, in milliseconds. */
    public static final long MIN_REMAINING_MILLIS = 30;

    private RecoveryPolicy() {}

    /**
     * Returns the action after a failed attempt.
     *
     * @param request the request
     * @param history its attempts, including the failed one
     * @param failure how the last attempt failed
     * @param budget true if the retry budget allows another attempt
     * @param nowMillis the current time, in milliseconds
     * @return the action
     */
    public static Recovery after(
            ServingRequest request,
            AttemptHistory history,
            AttemptFailure failure,
            boolean budget,
            long nowMillis) {
        Route route = request.route();
        boolean repeatable = route.repeatable() || !history.mayHaveRun();
        if (!repeatable || !budget || !allowsAnother(request, history, nowMillis)) {
            return new GiveUp(ending(history, failure));
        }
        if (!history.hasAnswerStarted()) {
            return new Retry();
        }
        boolean resumable = route.kind() == RouteKind.STREAMING && route.resumable();
        return resumable ? new Resume(history.lastEventId()) : new GiveUp(Ending.BROKEN_OFF);
    }

    /**
     * Returns whether a request has attempts and time left, and what its caller has of the answer
     * can be continued, regardless of whether it may run again.
     *
     * @param request the request
     * @param history its attempts
     * @param nowMillis the current time, in milliseconds
     * @return true if it has
     */
    public static boolean allowsAnother(
            ServingRequest request, AttemptHistory history, long nowMillis) {
        return history.isResumable()
                && history.sent() < request.route().maxAttempts()
                && history.connectFailures() < MAX_CONNECT_FAILURES
                && request.deadlineMillis() - nowMillis >= MIN_REMAINING_MILLIS;
    }

    /**
     * Returns how a request ends that has no attempt left, or whose process stops.
     *
     * @param history its attempts, including one that is under way
     * @return the ending
     */
    public static Ending endingOf(AttemptHistory history) {
        if (history.hasAnswerStarted()) {
            return Ending.BROKEN_OFF;
        }
        return history.mayHaveRun() ? Ending.MAY_HAVE_RUN : Ending.NOT_RUN;
    }

    /**
     * Returns how a request ends whose deadline has passed.
     *
     * @param history its attempts, including one that is under way
     * @return the ending
     */
    public static Ending endingAtDeadline(AttemptHistory history) {
        Ending ending = endingOf(history);
        return ending == Ending.MAY_HAVE_RUN ? Ending.TIMED_OUT : ending;
    }

    private static Ending ending(AttemptHistory history, AttemptFailure failure) {
        boolean answered = failure == AttemptFailure.SERVER_ERROR && !history.hasAnswerStarted();
        return answered ? Ending.PASSED_ON : endingOf(history);
    }
}
