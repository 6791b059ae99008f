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

import java.util.Map;

/**
 * For how long what a {@link VersionRecord} tells still counts. Who reads it holds it for these
 * times, and records what is left of them.
 *
 * @param plans for how long plans may have assigned streams that are resumed, by their number, in
 *     milliseconds
 * @param silent for how long processes may use plans that are silent, or were not heard yet, by
 *     their number, in milliseconds
 * @param streams for how long streams may be resumed, by their hash, in milliseconds
 * @since 0.7
 */
public record RecordTimes(Map<Long, Long> plans, Map<Long, Long> silent, Map<Long, Long> streams) {
    /** Copies the maps. */
    public RecordTimes {
        plans = Map.copyOf(plans);
        silent = Map.copyOf(silent);
        streams = Map.copyOf(streams);
    }

    /**
     * Returns times as long as they can be.
     *
     * @param record what they are of
     * @return the times
     */
    public static RecordTimes longest(VersionRecord record) {
        return new RecordTimes(
                Map.of(record.oldestNumber(), StreamVersions.MAX_AGE_MILLIS), Map.of(), Map.of());
    }
}
