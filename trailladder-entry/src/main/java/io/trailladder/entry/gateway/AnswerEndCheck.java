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
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.AnswerEnd.Finding;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Decides whether an upstream's answer is complete once no more of it will come.
 *
 * <p>An answer that is complete by its length or chunks is complete, unless it is a stream that
 * ends inside an event or has none. An answer without framing is complete only if its upstream can
 * still be reached: the connections of a process that ended are closed in the same way as those of
 * one that has answered.
 */
final class AnswerEndCheck {
    /**
     * Time between the end of an answer without framing and the check of its upstream, in
     * milliseconds. The system of a process that ends may close its connections before it stops
     * accepting new ones.
     */
    private static final long CHECK_DELAY_MILLIS = 5;

    private final ServingContext context;
    private final ServingRequest request;
    private final AnswerRelay answer;
    private final BiConsumer<Upstream, Consumer<Boolean>> reachable;

    /**
     * Creates a check for the answers to one request.
     *
     * @param context the objects that all requests share
     * @param request the request
     * @param answer what has arrived of the answer
     * @param reachable tests whether an upstream can be reached
     */
    AnswerEndCheck(
            ServingContext context,
            ServingRequest request,
            AnswerRelay answer,
            BiConsumer<Upstream, Consumer<Boolean>> reachable) {
        this.context = context;
        this.request = request;
        this.answer = answer;
        this.reachable = reachable;
    }

    /**
     * Completes or fails an attempt whose answer has ended.
     *
     * @param attempt the attempt
     * @param framed true if the length or the chunks of the answer say that it is complete
     */
    void answerEnded(Attempt attempt, boolean framed) {
        if (answer.isIncompleteStream()) {
            decide(attempt, Finding.INCOMPLETE_STREAM);
        } else if (!framed && answer.isUnconfirmedEnd() && request.route().maxAttempts() > 1) {
            decide(attempt, Finding.UNCONFIRMED_END);
        } else if (framed) {
            attempt.complete();
        } else {
            context.loop().schedule(CHECK_DELAY_MILLIS, () -> checkUpstream(attempt));
        }
    }

    private void checkUpstream(Attempt attempt) {
        if (!attempt.isFinished()) {
            reachable.accept(
                    attempt.upstream(),
                    reached ->
                            decide(attempt, reached ? Finding.COMPLETE : Finding.UPSTREAM_ENDED));
        }
    }

    private void decide(Attempt attempt, Finding finding) {
        if (attempt.isFinished()) {
            return;
        }
        DecisionLog.write(
                new AnswerEnd(
                        request.id(),
                        attempt.upstream().id(),
                        attempt.framing(),
                        attempt.events(),
                        answer.incompleteBytes(),
                        finding));
        if (finding == Finding.COMPLETE) {
            attempt.complete();
        } else {
            context.metrics().count(GatewayMetrics.Event.ANSWER_INCOMPLETE);
            attempt.fail(AttemptFailure.BROKEN);
        }
    }
}
