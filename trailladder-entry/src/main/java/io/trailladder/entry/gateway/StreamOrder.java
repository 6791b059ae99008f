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
import io.trailladder.core.upstream.Upstream;

/** Follows the ids of the events that upstreams send for one request, over all its attempts. */
final class StreamOrder {
    private final String requestId;
    private final AttemptHistory history;
    private String upstream = "";
    private boolean awaitsResumption;

    /**
     * Creates the object for one request.
     *
     * @param requestId the request
     * @param history records which events were forwarded
     */
    StreamOrder(String requestId, AttemptHistory history) {
        this.requestId = requestId;
        this.history = history;
    }

    /** Begins with the answer of the next attempt. */
    void newAttempt(Upstream next) {
        upstream = next.id();
        awaitsResumption = !history.lastEventId().isEmpty();
    }

    /**
     * Records an event that has arrived and is not forwarded yet.
     *
     * @param eventId its id; empty if it has none
     */
    void received(String eventId) {
        if (awaitsResumption) {
            awaitsResumption = false;
            DecisionLog.write(
                    new StreamResumed(requestId, upstream, history.lastEventId(), eventId));
        }
    }
}
