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

import io.trailladder.core.engine.EngineEstimate;
import java.util.Collection;
import java.util.OptionalLong;

/**
 * Estimates when a rejected request may find a slot at an upstream.
 *
 * @since 0.3
 */
public final class SlotForecast {
    /** Minimum estimate, in milliseconds: the time a caller takes to reach another process. */
    public static final long MIN_MILLIS = 50;

    /**
     * Estimate if no upstream accepts requests and none can be ordered, in milliseconds: a
     * restarted upstream registers with its heartbeat, which is sent about once per second.
     */
    public static final long UNKNOWN_MILLIS = 1_000;

    private SlotForecast() {}

    /**
     * Returns the estimated time until a slot is free. An upstream that has free slots and yet
     * rejected a request is assumed to be full until one of its requests ends.
     *
     * @param serving the upstreams that accept new work
     * @param loads the work in flight at them
     * @param engine their estimated speed
     * @param bootMillis how long an ordered upstream takes until it serves, in milliseconds; empty
     *     if none can be ordered
     * @return milliseconds, at least {@link #MIN_MILLIS}
     */
    public static long millis(
            Collection<Upstream> serving,
            UpstreamLoads loads,
            EngineEstimate engine,
            OptionalLong bootMillis) {
        if (serving.isEmpty()) {
            return Math.max(MIN_MILLIS, bootMillis.orElse(UNKNOWN_MILLIS));
        }
        double earliest =
                serving.stream()
                        .mapToDouble(upstream -> slotWaitMillis(upstream, loads, engine))
                        .min()
                        .orElseThrow();
        return Math.max(MIN_MILLIS, Math.round(earliest));
    }

    private static double slotWaitMillis(
            Upstream upstream, UpstreamLoads loads, EngineEstimate engine) {
        double firstEndMillis = engine.runMillis() / Math.max(1, upstream.slots());
        return Math.max(
                firstEndMillis,
                engine.slotWaitMillis(loads.requests(upstream.id()), upstream.slots()));
    }
}
