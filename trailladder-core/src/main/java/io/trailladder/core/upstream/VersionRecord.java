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
import java.util.List;
import java.util.Map;

/**
 * What processes that start later need to tell at which version streams began before.
 *
 * @param validMillis until when all changes are among the steps, in milliseconds
 * @param steps the changes of the upstreams of each service, oldest first
 * @param longestWaits the longest time that callers of each route wait, in milliseconds
 * @param silences since when peers have been silent that may still serve, by name, in milliseconds
 * @param streams the versions of streams that cannot be computed, by the hash of their attempts'
 *     ids
 * @since 0.8
 */
public record VersionRecord(
        long validMillis,
        Map<String, List<VersionStep>> steps,
        Map<String, Long> longestWaits,
        Map<String, Long> silences,
        Map<Long, String> streams) {
    /**
     * Returns this record with times on another clock.
     *
     * @param offsetMillis added to each time, in milliseconds
     * @return the record
     */
    public VersionRecord shifted(long offsetMillis) {
        Map<String, List<VersionStep>> shifted = new HashMap<>();
        steps.forEach(
                (service, all) ->
                        shifted.put(
                                service,
                                all.stream().map(step -> step.shifted(offsetMillis)).toList()));
        Map<String, Long> shiftedSilences = new HashMap<>();
        silences.forEach((peer, millis) -> shiftedSilences.put(peer, millis + offsetMillis));
        return new VersionRecord(
                validMillis + offsetMillis, shifted, longestWaits, shiftedSilences, streams);
    }
}
