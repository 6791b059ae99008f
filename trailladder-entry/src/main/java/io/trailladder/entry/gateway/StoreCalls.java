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
 * Counts the calls of a process to the platform's store, by purpose and kind.
 *
 * @since 0.3
 */
public final class StoreCalls {
    private final GatewayMetrics metrics;
    private final Map<Purpose, Map<Kind, Integer>> unreported = new EnumMap<>(Purpose.class);

    /** The purpose of a call. */
    public enum Purpose {
        /** The process's own entry and the list of processes. */
        MEMBERS,
        /** The leader's lease, and the usage records. */
        LEADERSHIP,
        /** The policy. */
        POLICY,
        /** The list of upstreams. */
        UPSTREAMS,
        /** Orders and records of roll-outs. */
        ROLLOUTS,
        /** The record of requests that end upstreams. */
        CRASHES,
        /** The record of the versions that served lately. */
        VERSIONS,
        /** The record of the services whose events do not have consecutive ids. */
        EVENT_STEPS
    }

    /** The kind of a call. */
    public enum Kind {
        /** A read of the latest state. */
        FRESH_READ,
        /** A read whose result may be some seconds old. */
        RECENT_READ,
        /** A conditional write. */
        WRITE,
        /** A watch that returned changes. */
        WATCH_WITH_NEWS,
        /** A watch that returned no changes, or failed. */
        WATCH_WITHOUT_NEWS,
        /** The grant of a lease. */
        GRANT,
        /** The renewal of a lease. */
        RENEWAL,
        /** The end of a lease. */
        END
    }

    /**
     * The number of calls of one purpose and kind.
     *
     * @param purpose the purpose of the calls
     * @param kind the kind of the calls
     * @param calls their number, at least 1
     */
    public record Count(Purpose purpose, Kind kind, int calls) {}

    /**
     * Creates a counter without calls.
     *
     * @param metrics exposes the counts
     */
    public StoreCalls(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Records a call.
     *
     * @param purpose the purpose of the call
     * @param kind the kind of the call
     */
    public void countCall(Purpose purpose, Kind kind) {
        unreported
                .computeIfAbsent(purpose, key -> new EnumMap<>(Kind.class))
                .merge(kind, 1, Integer::sum);
        metrics.storeCall(purpose, kind);
    }

    /**
     * Returns the calls since this method was last called.
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
