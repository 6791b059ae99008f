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
package io.trailladder.core.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * When streams of one service could not begin at the version that the plan assigns, for want of its
 * upstreams, and began at another one.
 */
final class VersionGaps {
    private final Map<String, Long> goneMillis = new HashMap<>();

    /**
     * Records the versions that are listed now.
     *
     * @param listed the versions of upstreams that take requests
     * @param planned the versions to which streams are assigned
     */
    void record(Set<String> listed, Set<String> planned, long nowMillis) {
        goneMillis.values().removeIf(gone -> nowMillis - gone > StreamVersions.MAX_AGE_MILLIS);
        for (String version : planned) {
            if (!listed.isEmpty() && !listed.contains(version)) {
                goneMillis.put(version, nowMillis);
            }
        }
    }

    /** Returns whether any version was gone lately. */
    boolean hasAny() {
        return !goneMillis.isEmpty();
    }

    /** Returns whether streams that are assigned to a version may have begun at another one. */
    boolean wasGone(String version) {
        return goneMillis.containsKey(version);
    }
}
