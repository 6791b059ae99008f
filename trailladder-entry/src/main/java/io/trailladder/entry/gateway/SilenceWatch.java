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
final class SilenceWatch {
    private static final long LONGEST_PAUSE_MILLIS = 1_000;
    private static final long CHECK_MILLIS = 50;
    private static final double SLOWEST_FACTOR = 3;

    private final ServingContext context;
    private final ServingRequest request;
    private final AttemptHistory history;
    private Attempt watched;
    private boolean paid;

    SilenceWatch(ServingContext context, ServingRequest request, AttemptHistory history) {
        this.context = context;
        this.request = request;
        this.history = history;
    }

    /** Begins to watch an attempt, in place of the one before. */
    void watch(Attempt attempt, Selection selection) {
        watched = attempt;
        long objective = request.route().objectiveMillis();
        long predicted = Math.round(selection.predictedMillis() * SLOWEST_FACTOR);
        checkLater(attempt, Math.max(objective, predicted));
    }

    void stop() {
        watched = null;
    }

    /** Tells, once, whether the attempt that failed last has paid for the next one. */
    boolean takePaid() {
        boolean was = paid;
        paid = false;
        return was;
    }

    private void checkLater(Attempt attempt, long mostMillis) {
        if (!request.route().repeatable() || mostMillis <= 0) {
            return;
        }
        long pause = Math.max(CHECK_MILLIS, mostMillis - attempt.silentMillis());
        context.loop().schedule(pause, () -> check(attempt, mostMillis));
    }

    private void check(Attempt attempt, long mostMillis) {
        if (attempt != watched) {
            return;
        }
        long most = history.hasAnswerStarted() ? LONGEST_PAUSE_MILLIS : mostMillis;
        long now = context.loop().nowMillis();
        if (attempt.silentMillis() >= most
                && RecoveryPolicy.allowsAnother(request, history, now)
                && context.availability().isAnyTaking(request.service(), now)
                && context.budgets().tryRetry(request.service(), now)) {
            paid = true;
            attempt.fail(AttemptFailure.SILENT);
        } else {
            checkLater(attempt, most);
        }
    }
}
