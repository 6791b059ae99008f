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
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.core.upstream.StreamOrigin.Source;
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
    private final ServingRequest request;
    private final CallerRequest caller;
    private final boolean resumable;
    private Optional<StreamOrigin> fixed = Optional.empty();

    StreamVersion(StreamVersions streams, ServingRequest request, CallerRequest caller) {
        this.streams = streams;
        this.request = request;
        this.caller = caller;
        this.resumable =
                request.route().kind() == RouteKind.STREAMING && request.route().resumable();
        if (resumable && !isResumed()) {
            streams.requested(request.route().name(), caller.waitMillis());
        }
    }

    /** Returns whether the caller resumes a stream on a route whose streams may not be resumed. */
    boolean isResumedAgainstRoute() {
        return request.route().kind() == RouteKind.STREAMING && !resumable && isResumed();
    }

    private boolean isResumed() {
        return !caller.lastEventId().isEmpty();
    }

    /** Returns the version at which the request may run now, and how it is known. */
    StreamOrigin origin(long nowMillis) {
        if (!resumable) {
            return StreamOrigin.ANY;
        }
        if (fixed.isPresent()) {
            return fixed.get();
        }
        String service = request.service();
        if (!isResumed()) {
            return streams.assigned(service, request.id(), nowMillis);
        }
        StreamOrigin origin =
                streams.origin(
                        service,
                        request.route().name(),
                        caller.resumes(),
                        caller.waitMillis(),
                        nowMillis);
        if (origin.source() == Source.COMPUTED || origin.source() == Source.RECORDED) {
            fixed = Optional.of(origin);
        }
        return origin;
    }

    /** Records that an upstream sent an event, which binds the stream to its version. */
    void eventReceived(Upstream upstream, long nowMillis) {
        if (!resumable || fixed.isPresent()) {
            return;
        }
        fixed = Optional.of(StreamOrigin.recorded(upstream.version()));
        String attempt = isResumed() ? caller.resumes() : request.id();
        streams.began(request.service(), attempt, upstream.version(), nowMillis);
    }
}
