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

import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.core.pipeline.EventOrder;
import io.trailladder.core.pipeline.EventSteps;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.AnswerOutOfOrder.Finding;

/**
 * Decides whether what upstreams send for one request, over all its attempts, continues the stream
 * that its caller has. After the first event that does not, nothing of that attempt is accepted.
 *
 * <p>Such events are not dropped to go on with those behind them: an answer that begins at or
 * before the event that was asked for may be another run, whose text differs.
 */
final class StreamOrder {
    private final GatewayMetrics metrics;
    private final String requestId;
    private final AttemptHistory history;
    private final EventOrder order;
    private String upstream = "";
    private boolean awaitsResumption;
    private boolean broken;

    /**
     * Creates the object for one request.
     *
     * @param metrics counts the answers that are out of order
     * @param steps how event ids rise
     * @param request the request
     * @param history records which events were forwarded
     */
    StreamOrder(
            GatewayMetrics metrics,
            EventSteps steps,
            ServingRequest request,
            AttemptHistory history) {
        this.metrics = metrics;
        this.requestId = request.id();
        this.history = history;
        this.order = new EventOrder(steps, request.service(), history.lastEventId());
    }

    /** Begins with the answer of the next attempt. */
    void newAttempt(Upstream next) {
        upstream = next.id();
        awaitsResumption = !history.lastEventId().isEmpty();
        broken = false;
        order.answerBegins();
    }

    /** Records that the answer is a document, which continues no stream. */
    void answerIsNoEventStream() {
        if (history.hasAnswerStarted() || !history.lastEventId().isEmpty()) {
            reject("", Finding.NO_EVENT_STREAM);
        }
    }

    /**
     * Returns whether an event may be forwarded, and records it if so.
     *
     * @param eventId its id; empty if it has none
     */
    boolean accepts(String eventId) {
        if (broken) {
            return false;
        }
        if (awaitsResumption) {
            awaitsResumption = false;
            DecisionLog.write(
                    new StreamResumed(requestId, upstream, history.lastEventId(), eventId));
        }
        switch (order.received(eventId)) {
            case NEXT -> {}
            case REPEATED -> reject(eventId, Finding.REPEATED);
            case AFTER_A_GAP -> reject(eventId, Finding.AFTER_A_GAP);
        }
        return !broken;
    }

    /** Returns whether the answer of the current attempt does not continue the stream. */
    boolean isBroken() {
        return broken;
    }

    private void reject(String eventId, Finding finding) {
        broken = true;
        metrics.count(GatewayMetrics.Event.ANSWER_OUT_OF_ORDER);
        DecisionLog.write(
                new AnswerOutOfOrder(requestId, upstream, history.lastEventId(), eventId, finding));
    }
}
