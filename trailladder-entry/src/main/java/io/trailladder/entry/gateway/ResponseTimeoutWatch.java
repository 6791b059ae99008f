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
package io.trailladder.entry.gateway;

import io.trailladder.core.pipeline.AttemptFailure;
import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.core.pipeline.RecoveryPolicy;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.upstream.Selection;
import io.trailladder.core.upstream.Upstream;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Fails an attempt whose upstream has sent nothing that brings the answer nearer to its end for too
 * long, if the request may run again, some upstream takes requests, and the retry budget allows it.
 */
final class ResponseTimeoutWatch {
    /**
     * Time without progress, once the answer has begun, after which it is checked whether the
     * upstream is still there, in milliseconds.
     */
    private static final long CHECKED_BODY_GAP_MILLIS = 1_000;

    /** Longest time without progress from an upstream that is still there, in milliseconds. */
    private static final long MAX_BODY_GAP_MILLIS = 1_900;

    private static final long MIN_CHECK_INTERVAL_MILLIS = 50;

    /** How many times the predicted time an answer may take to begin. */
    private static final double PREDICTION_TOLERANCE_FACTOR = 3;

    private final ServingContext context;
    private final ServingRequest request;
    private final AttemptHistory history;
    private final RetryCharge retries;
    private final BooleanSupplier servedElsewhere;
    private final BiConsumer<Upstream, Consumer<Boolean>> reachable;
    private Attempt watched;

    /**
     * Creates a watch.
     *
     * @param context the objects that all requests share
     * @param request the request
     * @param history its attempts
     * @param retries the charge of its retries
     * @param servedElsewhere tells whether another upstream takes the request
     * @param reachable tests whether an upstream can be reached
     */
    ResponseTimeoutWatch(
            ServingContext context,
            ServingRequest request,
            AttemptHistory history,
            RetryCharge retries,
            BooleanSupplier servedElsewhere,
            BiConsumer<Upstream, Consumer<Boolean>> reachable) {
        this.reachable = reachable;
        this.context = context;
        this.request = request;
        this.history = history;
        this.retries = retries;
        this.servedElsewhere = servedElsewhere;
    }

    /** Starts to watch an attempt instead of the previous one. */
    void watch(Attempt attempt, Selection selection) {
        watched = attempt;
        long objectiveMillis = request.route().objectiveMillis();
        long slowestMillis = Math.round(selection.predictedMillis() * PREDICTION_TOLERANCE_FACTOR);
        scheduleCheck(attempt, Math.max(objectiveMillis, slowestMillis));
    }

    void stop() {
        watched = null;
    }

    private void scheduleCheck(Attempt attempt, long timeoutMillis) {
        if (!request.route().repeatable() || timeoutMillis <= 0) {
            return;
        }
        long delayMillis =
                Math.max(
                        MIN_CHECK_INTERVAL_MILLIS, timeoutMillis - attempt.millisWithoutProgress());
        context.loop().schedule(delayMillis, () -> check(attempt, timeoutMillis));
    }

    private void check(Attempt attempt, long firstTimeoutMillis) {
        if (attempt != watched) {
            return;
        }
        boolean begun = history.hasAnswerStarted();
        long timeoutMillis = begun ? CHECKED_BODY_GAP_MILLIS : firstTimeoutMillis;
        long waitedMillis = attempt.millisWithoutProgress();
        if (waitedMillis < timeoutMillis) {
            scheduleCheck(attempt, timeoutMillis);
        } else if (begun && waitedMillis < MAX_BODY_GAP_MILLIS) {
            reachable.accept(attempt.upstream(), reached -> checked(attempt, reached));
        } else if (!leave(attempt, AttemptFailure.SILENT)) {
            attempt.reportWithoutProgress(WithoutProgress.Finding.KEPT);
            scheduleCheck(attempt, timeoutMillis);
        }
    }

    /** Continues once it is known whether the upstream of a silent attempt is still there. */
    private void checked(Attempt attempt, boolean reached) {
        if (attempt != watched) {
            return;
        }
        boolean silent = attempt.millisWithoutProgress() >= CHECKED_BODY_GAP_MILLIS;
        if (!silent || reached || !leave(attempt, AttemptFailure.SILENT)) {
            scheduleCheck(attempt, silent ? MAX_BODY_GAP_MILLIS : CHECKED_BODY_GAP_MILLIS);
        }
    }

    /** Fails the watched attempt because this process has lost its path to the upstream. */
    void pathLost() {
        if (watched != null && request.route().repeatable()) {
            leave(watched, AttemptFailure.PATH_LOST);
        }
    }

    /** Fails an attempt if another one is allowed; returns whether it is. */
    private boolean leave(Attempt attempt, AttemptFailure reason) {
        long now = context.loop().nowMillis();
        boolean allowed =
                RecoveryPolicy.allowsAnother(request, history, now)
                        && servedElsewhere.getAsBoolean()
                        && retries.allowsAnother(now);
        if (allowed && reason == AttemptFailure.SILENT) {
            attempt.failWithoutProgress(reason);
        } else if (allowed) {
            attempt.fail(reason);
        }
        return allowed;
    }
}
