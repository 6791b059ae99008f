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
 * Chooses which leaving upstreams a digest names. A wave of leavers is spread over some digests, so
 * that all of them are told and none is told only because it was the last to be seen.
 */
final class LeavingUpdates {
    /**
     * Most that one digest names: 1.8 KB at 14 bytes each. The loss of all reclaimable upstreams of
     * a data centre of 825 is told in three digests.
     */
    static final int MAX_PER_DIGEST = 128;

    /**
     * Most of the older ones that one digest names beside the news, for processes that came later.
     */
    static final int MAX_REPEATED = 8;

    private final Function<String, Optional<LeavingUpstream>> listed;
    private final UpdateRotation rotation;

    /**
     * Creates news of nobody.
     *
     * @param listed tells which life of an upstream leaves; none of one that is gone or has started
     *     anew, which needs no telling
     */
    LeavingUpdates(Function<String, Optional<LeavingUpstream>> listed) {
        this.listed = listed;
        this.rotation =
                new UpdateRotation(
                        upstream -> listed.apply(upstream).isPresent(),
                        new Pace(MAX_PER_DIGEST, 0, MAX_REPEATED, 0));
    }

    /** Records that an upstream has begun to leave. */
    void began(String upstream, long nowMillis) {
        rotation.began(upstream, nowMillis);
    }

    /** Returns those that the next digests name. */
    List<LeavingUpstream> next(long nowMillis) {
        return rotation.next(nowMillis).stream()
                .flatMap(upstream -> listed.apply(upstream).stream())
                .toList();
    }
}
