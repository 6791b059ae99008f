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

import java.util.List;
import java.util.Map;

/**
 * What is recorded in the store of the versions of upstreams at which streams begin. A stream that
 * is not among {@code streams} began by one of the plans.
 *
 * @param oldestNumber the number of the oldest plan by which a process may have assigned a stream
 *     that is still resumed; 0 if one may have assigned some without a plan
 * @param plans the plans since then that are known, with consecutive numbers
 * @param silentNumber the oldest plan that a process may still use that has become silent; -1 if
 *     there is none
 * @param streams streams whose version does not follow from the plans, by the hash of the id of the
 *     attempt that began them
 * @since 0.6
 */
public record VersionRecord(
        long oldestNumber, List<VersionPlan> plans, long silentNumber, Map<Long, String> streams) {
    /** Copies the collections. */
    public VersionRecord {
        plans = List.copyOf(plans);
        streams = Map.copyOf(streams);
    }
}
