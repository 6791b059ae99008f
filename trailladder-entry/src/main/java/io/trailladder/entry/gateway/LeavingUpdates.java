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

import io.trailladder.core.upstream.LeavingUpstream;
import io.trailladder.entry.gateway.UpdateRotation.Pace;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Selects the leaving upstreams that a digest names. Many that leave at once are spread over
 * several digests, so that each is sent and none is sent only because it was the last to be seen.
 */
final class LeavingUpdates {
    /**
     * Maximum number that one digest names: 1.8 KB at 14 bytes each. The loss of all reclaimable
     * upstreams of a data centre of 825 upstreams takes three digests.
     */
    static final int MAX_PER_DIGEST = 128;

    /**
     * Maximum number of older ones that one digest names beside the new ones, for processes that
     * started later.
     */
    static final int MAX_REPEATED = 8;

    private final Function<String, Optional<LeavingUpstream>> listed;
    private final UpdateRotation rotation;

    /**
     * Creates updates without any leaving upstream.
     *
     * @param listed returns the incarnation of an upstream that is leaving; empty if the upstream
     *     has been removed or has restarted, which need not be sent
     */
    LeavingUpdates(Function<String, Optional<LeavingUpstream>> listed) {
        this.listed = listed;
        this.rotation =
                new UpdateRotation(
                        upstream -> listed.apply(upstream).isPresent(),
                        new Pace(MAX_PER_DIGEST, 0, MAX_REPEATED, 0));
    }

    /** Records that an upstream has started to leave. */
    void began(String upstream, long nowMillis) {
        rotation.began(upstream, nowMillis);
    }

    /** Returns the leaving upstreams that the next digests name. */
    List<LeavingUpstream> next(long nowMillis) {
        return rotation.next(nowMillis).stream()
                .flatMap(upstream -> listed.apply(upstream).stream())
                .toList();
    }
}
