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

import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.upstream.StreamCall;
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.port.CallerRequest;
import java.util.Optional;

/**
 * Determines at which version of its service's upstreams one request may run. Only streams that may
 * be resumed are bound to one.
 */
final class StreamVersion {
    private final StreamVersions streams;
    private final CallerRequest caller;
    private final boolean streaming;
    private final boolean resumable;
    private final StreamCall call;
    private Optional<StreamOrigin> fixed = Optional.empty();
    private Optional<StreamExchange.Finding> found = Optional.empty();

    StreamVersion(StreamVersions streams, ServingRequest request, CallerRequest caller) {
        this.streams = streams;
        this.caller = caller;
        this.streaming = request.route().kind() == RouteKind.STREAMING;
        this.resumable = streaming && request.route().resumable();
        this.call =
                new StreamCall(request.service(), isResumed() ? caller.resumes() : request.id());
    }

    /** Returns what the caller asks for. */
    StreamCall call() {
        return call;
    }

    /** Returns whether the caller resumes a stream on a route whose streams may not be resumed. */
    boolean isResumedAgainstRoute() {
        return streaming && !resumable && isResumed();
    }

    private boolean isResumed() {
        return !caller.lastEventId().isEmpty();
    }

    /** Returns whether peers must be asked where the stream began before it is resumed. */
    boolean isToBeFound() {
        return resumable
                && isResumed()
                && fixed.isEmpty()
                && found.isEmpty()
                && streams.recorded(call).isEmpty();
    }

    /** Records what the peers answered. */
    void found(StreamExchange.Finding finding) {
        found = Optional.of(finding);
    }

    /** Returns what is known of a stream of which the peers were asked. */
    Optional<StreamExchange.Finding> finding() {
        return found;
    }

    /** Returns whether a new stream waits for the plan that assigns its version. */
    boolean awaitsPlan(long nowMillis) {
        return resumable && !isResumed() && fixed.isEmpty() && streams.awaitsPlan(call, nowMillis);
    }

    /** Returns the version at which the request may run now, and how it is known. */
    StreamOrigin origin(long nowMillis) {
        if (!resumable) {
            return StreamOrigin.ANY;
        }
        if (fixed.isPresent()) {
            return fixed.get();
        }
        if (!isResumed()) {
            return streams.assigned(call, nowMillis);
        }
        StreamOrigin origin =
                streams.recorded(call)
                        .or(() -> found.map(StreamExchange.Finding::origin))
                        .orElse(StreamOrigin.UNKNOWN);
        if (origin.isKnown() && origin.required().isPresent()) {
            fixed = Optional.of(origin);
        }
        return origin;
    }

    /**
     * Records that the request is sent to an upstream, and tells others of it. A stream that is
     * resumed stays at that version.
     */
    void sent(Upstream upstream, StreamTelling telling, long nowMillis) {
        if (!resumable) {
            return;
        }
        if (isResumed() && fixed.isEmpty()) {
            fixed = Optional.of(StreamOrigin.recorded(upstream.version()));
        }
        streams.sent(call, upstream.version(), nowMillis);
        telling.tellAll();
    }

    /** Records that an upstream sent an event, which binds the stream to its version. */
    void eventReceived(Upstream upstream, StreamTelling telling, long nowMillis) {
        if (!resumable) {
            return;
        }
        if (fixed.isEmpty()) {
            fixed = Optional.of(StreamOrigin.recorded(upstream.version()));
        }
        if (streams.began(call, upstream.version(), nowMillis)) {
            telling.began(call, upstream.version());
        }
    }

    /** Has the peers asked once more, since the request has waited. */
    void waited() {
        found = Optional.empty();
    }
}
