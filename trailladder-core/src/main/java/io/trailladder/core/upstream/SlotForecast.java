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
 * Works out when a request that was turned away may find a place at an upstream.
 *
 * @since 0.3
 */
public final class SlotForecast {
    /** Least time told, in milliseconds: a caller's way back to another process takes as long. */
    public static final long MIN_MILLIS = 50;

    /**
     * Told where no upstream serves and none can be ordered, in milliseconds: the heartbeat with
     * which an upstream that starts again registers comes about once a second.
     */
    public static final long UNKNOWN_MILLIS = 1_000;

    private SlotForecast() {}

    /**
     * Works the time out. An upstream with free places that turns a request away is taken to be
     * full for a moment: one place there becomes free as soon as one of its requests ends.
     *
     * @param serving the upstreams that take new work
     * @param loads the work under way at them
     * @param engine what is believed of their speed
     * @param bootMillis how long an upstream that is ordered takes to serve, in milliseconds; empty
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
        double soonest =
                serving.stream()
                        .mapToDouble(upstream -> slotWaitMillis(upstream, loads, engine))
                        .min()
                        .orElseThrow();
        return Math.max(MIN_MILLIS, Math.round(soonest));
    }

    private static double slotWaitMillis(
            Upstream upstream, UpstreamLoads loads, EngineEstimate engine) {
        double oneEnds = engine.runMillis() / Math.max(1, upstream.slots());
        return Math.max(
                oneEnds, engine.slotWaitMillis(loads.requests(upstream.id()), upstream.slots()));
    }
}
