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

import com.fasterxml.jackson.core.JsonGenerator;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;
import java.util.Optional;

/**
 * Log line: a request was ended without a further attempt, because none could answer in time.
 *
 * @param id the request
 * @param reason why no attempt could answer in time
 * @param placeMs expected wait for capacity, in milliseconds; 0 if no upstream serves
 * @param leftMs time left until the deadline of the request, in milliseconds
 */
record TurnedAway(String id, String reason, long placeMs, long leftMs) implements Decision {
    /** No upstream of the service takes requests, or all were tried. */
    static final String NO_UPSTREAM = "no upstream left";

    /**
     * All upstreams of the service that are not leaving are backing off or have reached their
     * limits.
     */
    static final String NONE_AVAILABLE = "all upstreams rest or are limited";

    /** All remaining upstreams read bodies more slowly than they arrive. */
    static final String NO_BODY_CAPACITY = "no upstream takes bodies";

    /** No upstream takes requests of the version that began the stream. */
    static final String NO_VERSION = "no upstream of the version that began the stream";

    /** This process does not know which of several versions began the stream. */
    static final String VERSION_UNKNOWN = "version that began the stream is not known";

    /**
     * Some processes that may have begun the stream did not answer, and the record of the plans
     * could not be read.
     */
    static final String OTHERS_UNKNOWN = "versions of other processes are not known";

    /** Others may take this process for ended, and would not allow for a stream that it begins. */
    static final String ISOLATED = "neither the store nor a peer was heard for long";

    /** The caller resumes a stream on a route whose streams may not be resumed. */
    static final String NOT_RESUMABLE = "streams of the route may not be resumed";

    /** All upstreams are expected to be busy for longer than the caller waits. */
    static final String NO_PLACE_IN_TIME = "no place in time";

    /** Returns the event to count if a stream is not resumed for a reason; empty for others. */
    static Optional<GatewayMetrics.Event> notResumed(String reason) {
        return switch (reason) {
            case VERSION_UNKNOWN -> Optional.of(GatewayMetrics.Event.STREAM_VERSION_UNKNOWN);
            case OTHERS_UNKNOWN -> Optional.of(GatewayMetrics.Event.STREAM_LIST_OUTDATED);
            case NOT_RESUMABLE -> Optional.of(GatewayMetrics.Event.STREAM_NOT_RESUMABLE);
            case NO_VERSION -> Optional.of(GatewayMetrics.Event.STREAM_VERSION_NOT_SERVED);
            default -> Optional.empty();
        };
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("reason", reason);
        json.writeNumberField("placeMs", placeMs);
        json.writeNumberField("leftMs", leftMs);
    }
}
