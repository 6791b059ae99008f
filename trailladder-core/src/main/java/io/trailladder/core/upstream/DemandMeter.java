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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the prompt tokens that upstreams must read for requests of this entry, by service,
 * smoothed over several seconds.
 *
 * @since 0.2
 */
public final class DemandMeter {
    /**
     * Time after which work is weighted by 1/e, in milliseconds: the duration of a swing in
     * traffic.
     */
    private static final double SMOOTHING_MILLIS = 6_000;

    /** Minimum time over which a rate is computed, in milliseconds: the time of a few requests. */
    private static final double MIN_SPAN_MILLIS = 500;

    private final Map<String, Rate> rates = new HashMap<>();

    /** Exponentially decaying sums of the work since the first request. */
    private static final class Rate {
        private final long startMillis;
        private double tokens;
        private double squaredTokens;
        private long updatedMillis;

        Rate(long nowMillis) {
            startMillis = nowMillis;
            updatedMillis = nowMillis;
        }

        void add(double more) {
            tokens += more;
            squaredTokens += more * more;
        }

        void decay(long nowMillis) {
            long elapsed = Math.max(0, nowMillis - updatedMillis);
            double factor = StrictMath.exp(-elapsed / SMOOTHING_MILLIS);
            tokens *= factor;
            squaredTokens *= factor;
            updatedMillis = Math.max(updatedMillis, nowMillis);
        }

        /**
         * Returns the time span that the sums represent, shorter than the smoothing time at first.
         */
        double spanMillis() {
            double age = updatedMillis - startMillis;
            double span = SMOOTHING_MILLIS * (1 - StrictMath.exp(-age / SMOOTHING_MILLIS));
            return Math.max(MIN_SPAN_MILLIS, span);
        }
    }

    /**
     * Records a request that was sent to an upstream.
     *
     * @param service the service
     * @param tokens prompt tokens that the upstream must read
     * @param nowMillis the current time, in milliseconds
     */
    public void sent(String service, int tokens, long nowMillis) {
        Rate rate = rates.computeIfAbsent(service, name -> new Rate(nowMillis));
        rate.decay(nowMillis);
        rate.add(tokens);
    }

    /**
     * Returns the load of every service that received requests.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the loads
     */
    public List<ServiceDemand> demands(long nowMillis) {
        List<ServiceDemand> demands = new ArrayList<>();
        rates.forEach(
                (service, rate) -> {
                    rate.decay(nowMillis);
                    double span = rate.spanMillis();
                    demands.add(
                            new ServiceDemand(
                                    service, rate.tokens / span, rate.squaredTokens / span));
                });
        return demands;
    }
}
