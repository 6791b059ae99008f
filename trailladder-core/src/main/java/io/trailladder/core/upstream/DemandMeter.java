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
 * Measures the prompt tokens that this entry's requests have upstreams read, by service, smoothed
 * over some seconds.
 *
 * @since 0.2
 */
public final class DemandMeter {
    /** Time after which work counts a third, in milliseconds: a swing of traffic lasts as long. */
    private static final double SMOOTHING_MILLIS = 6_000;

    /** Least time over which a rate is taken, in milliseconds: a few requests. */
    private static final double MIN_SPAN_MILLIS = 500;

    private final Map<String, Rate> rates = new HashMap<>();

    /** Decaying sums of work since its beginning. */
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
            double factor = Math.exp(-elapsed / SMOOTHING_MILLIS);
            tokens *= factor;
            squaredTokens *= factor;
            updatedMillis = Math.max(updatedMillis, nowMillis);
        }

        /** The span that the sums stand for; shorter than the memory at the beginning. */
        double spanMillis() {
            double age = updatedMillis - startMillis;
            double span = SMOOTHING_MILLIS * (1 - Math.exp(-age / SMOOTHING_MILLIS));
            return Math.max(MIN_SPAN_MILLIS, span);
        }
    }

    /**
     * Records a request that was sent to an upstream.
     *
     * @param service the service
     * @param tokens prompt tokens the upstream must read
     * @param nowMillis the time
     */
    public void sent(String service, int tokens, long nowMillis) {
        Rate rate = rates.computeIfAbsent(service, name -> new Rate(nowMillis));
        rate.decay(nowMillis);
        rate.add(tokens);
    }

    /**
     * Returns the load of every service that was asked for.
     *
     * @param nowMillis the time
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
