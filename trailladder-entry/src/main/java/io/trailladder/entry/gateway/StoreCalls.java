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

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the calls of a process to the platform's store, by what they are for and of which kind.
 *
 * @since 0.3
 */
public final class StoreCalls {
    private final GatewayMetrics metrics;
    private final Map<Purpose, Map<Kind, Integer>> unreported = new EnumMap<>(Purpose.class);

    /** What a call is for. */
    public enum Purpose {
        /** The process's own entry, and the list of processes. */
        MEMBERS,
        /** The leader's lease and what it records of usage. */
        LEADERSHIP,
        /** The policy. */
        POLICY,
        /** The list of upstreams. */
        UPSTREAMS,
        /** Orders and records of roll-outs. */
        ROLLOUTS,
        /** The record of requests that end upstreams. */
        CRASHES
    }

    /** The kind of a call. */
    public enum Kind {
        /** A read of what is in the store now. */
        FRESH_READ,
        /** A read that may be seconds old. */
        RECENT_READ,
        /** A conditional write. */
        WRITE,
        /** A wait for changes that told some. */
        WATCH_WITH_NEWS,
        /** A wait for changes that told none, or failed. */
        WATCH_WITHOUT_NEWS,
        /** The grant of a lease. */
        GRANT,
        /** The renewal of a lease. */
        RENEWAL,
        /** The end of a lease. */
        END
    }

    /**
     * How many calls of one sort were made.
     *
     * @param purpose what they were for
     * @param kind their kind
     * @param calls a count of at least 1
     */
    public record Count(Purpose purpose, Kind kind, int calls) {}

    /**
     * Creates counts of no calls.
     *
     * @param metrics exposes them
     */
    public StoreCalls(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Records a call.
     *
     * @param purpose what it is for
     * @param kind its kind
     */
    public void countCall(Purpose purpose, Kind kind) {
        unreported.computeIfAbsent(purpose, key -> new EnumMap<>(Kind.class))
                .merge(kind, 1, Integer::sum);
        metrics.storeCall(purpose, kind);
    }

    /**
     * Returns the calls since this was asked last.
     *
     * @return the counts that are not 0
     */
    public List<Count> takeUnreported() {
        List<Count> counts = new ArrayList<>();
        unreported.forEach(
                (purpose, kinds) ->
                        kinds.forEach(
                                (kind, calls) -> counts.add(new Count(purpose, kind, calls))));
        unreported.clear();
        return counts;
    }
}
