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
 * Decides what is done after an attempt has failed.
 *
 * <p>A request that may not be repeated is never sent again once an attempt may have run. "Not run"
 * is said only if no attempt may have run.
 *
 * @since 0.2
 */
public final class RecoveryPolicy {
    /** Most connections that one request tries in vain. */
    public static final int MAX_CONNECT_FAILURES = 3;

    /** Least time left that makes another attempt worth while, in milliseconds. */
    public static final long MIN_REMAINING_MILLIS = 30;

    private RecoveryPolicy() {}

    /**
     * Decides.
     *
     * @param request the request
     * @param history its attempts, the failed one included
     * @param failure how the last attempt failed
     * @param budget true if the retry budget allows another attempt
     * @param nowMillis the time
     * @return what is done
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
     * Tells whether a request has attempts and time left, whether or not it may run again.
     *
     * @param request the request
     * @param history its attempts
     * @param nowMillis the time
     * @return true if it has
     */
    public static boolean allowsAnother(
            ServingRequest request, AttemptHistory history, long nowMillis) {
        return history.sent() < request.route().maxAttempts()
                && history.connectFailures() < MAX_CONNECT_FAILURES
                && request.deadlineMillis() - nowMillis >= MIN_REMAINING_MILLIS;
    }

    /**
     * Tells how a request ends that has no attempt left, or whose process stops.
     *
     * @param history its attempts
     * @param underWay true if an attempt was sent whose outcome is not known
     * @return what the caller is told
     */
    public static Ending endingOf(AttemptHistory history, boolean underWay) {
        if (history.hasAnswerStarted()) {
            return Ending.BROKEN_OFF;
        }
        boolean mayHaveRun = history.mayHaveRun() || underWay;
        return mayHaveRun ? Ending.MAY_HAVE_RUN : Ending.NOT_RUN;
    }

    /**
     * Tells how a request ends whose time is over.
     *
     * @param history its attempts
     * @param underWay true if an attempt was sent whose outcome is not known
     * @return what the caller is told
     */
    public static Ending endingAtDeadline(AttemptHistory history, boolean underWay) {
        Ending ending = endingOf(history, underWay);
        return ending == Ending.MAY_HAVE_RUN ? Ending.TIMED_OUT : ending;
    }

    private static Ending ending(AttemptHistory history, AttemptFailure failure) {
        boolean answered = failure == AttemptFailure.SERVER_ERROR && !history.hasAnswerStarted();
        return answered ? Ending.PASSED_ON : endingOf(history, false);
    }
}
