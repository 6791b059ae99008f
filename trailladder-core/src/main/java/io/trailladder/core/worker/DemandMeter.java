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
package io.trailladder.core.worker;

import io.trailladder.core.pipeline.ServingRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the load of each service as the part of upstreams' time that this entry's requests take,
 * smoothed over some seconds.
 *
 * @since 0.2
 */
public final class DemandMeter {
    private static final double SMOOTHING_MILLIS = 6_000;
    private static final double TOKEN_OUT_MILLIS = 0.12;

    private final Map<String, Rate> rates = new HashMap<>();

    /** A decaying sum of work. */
    private static final class Rate {
        double millis;
        long updatedMillis;

        Rate(long nowMillis) {
            updatedMillis = nowMillis;
        }

        void decay(long nowMillis) {
            long elapsed = Math.max(0, nowMillis - updatedMillis);
            millis *= Math.exp(-elapsed / SMOOTHING_MILLIS);
            updatedMillis = Math.max(updatedMillis, nowMillis);
        }
    }

    /**
     * Records a request that was sent to an upstream.
     *
     * @param request the request
     * @param uncachedTokens prompt tokens the upstream must read
     * @param nowMillis the time
     */
    public void sent(ServingRequest request, int uncachedTokens, long nowMillis) {
        Rate rate = rates.computeIfAbsent(request.service(), name -> new Rate(nowMillis));
        rate.decay(nowMillis);
        rate.millis += uncachedTokens / WorkerSelector.PROMPT_TOKENS_PER_MILLI;
        rate.millis += request.prompt().tokensOut() * TOKEN_OUT_MILLIS;
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
                    demands.add(new ServiceDemand(service, rate.millis / SMOOTHING_MILLIS));
                });
        return demands;
    }
}
