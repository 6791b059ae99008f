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

/**
 * Leaves an upstream that is silent for too long, if the request may run again and some upstream
 * takes it.
 */
final class ResponseTimeoutWatch {
    private static final long MAX_BODY_GAP_MILLIS = 1_000;
    private static final long MIN_CHECK_INTERVAL_MILLIS = 50;
    private static final double PREDICTION_TOLERANCE_FACTOR = 3;

    private final ServingContext context;
    private final ServingRequest request;
    private final AttemptHistory history;
    private Attempt watched;
    private boolean retryCharged;

    ResponseTimeoutWatch(ServingContext context, ServingRequest request, AttemptHistory history) {
        this.context = context;
        this.request = request;
        this.history = history;
    }

    /** Begins to watch an attempt, in place of the one before. */
    void watch(Attempt attempt, Selection selection) {
        watched = attempt;
        long objective = request.route().objectiveMillis();
        long predicted = Math.round(selection.predictedMillis() * PREDICTION_TOLERANCE_FACTOR);
        scheduleCheck(attempt, Math.max(objective, predicted));
    }

    void stop() {
        watched = null;
    }

    /** Tells, once, whether the attempt that failed last has paid for the next one. */
    boolean takeRetryCharged() {
        boolean was = retryCharged;
        retryCharged = false;
        return was;
    }

    private void scheduleCheck(Attempt attempt, long mostMillis) {
        if (!request.route().repeatable() || mostMillis <= 0) {
            return;
        }
        long pause = Math.max(MIN_CHECK_INTERVAL_MILLIS, mostMillis - attempt.unresponsiveMillis());
        context.loop().schedule(pause, () -> check(attempt, mostMillis));
    }

    private void check(Attempt attempt, long mostMillis) {
        if (attempt != watched) {
            return;
        }
        long most = history.hasAnswerStarted() ? MAX_BODY_GAP_MILLIS : mostMillis;
        long now = context.loop().nowMillis();
        if (attempt.unresponsiveMillis() >= most
                && RecoveryPolicy.allowsAnother(request, history, now)
                && context.availability().isAnyAccepting(request.service(), now)
                && context.budgets().tryRetry(request.service(), now)) {
            retryCharged = true;
            attempt.fail(AttemptFailure.SILENT);
        } else {
            scheduleCheck(attempt, most);
        }
    }
}
