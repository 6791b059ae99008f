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

import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.ServiceSpec;
import io.trailladder.core.upstream.SlotForecast;
import io.trailladder.core.upstream.UpstreamAvailability;
import io.trailladder.core.upstream.UpstreamLoads;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** Estimates when callers whose requests have not run may retry with success. */
final class RetryAfterEstimator {
    /**
     * Maximum jitter as a ratio of the estimated time, so that callers refused together do not all
     * retry at once.
     */
    private static final double MAX_JITTER_RATIO = 0.5;

    /** Latest send slot promised to a caller, in milliseconds after the first free one. */
    private static final long MAX_PROMISED_DELAY_MILLIS = 10_000;

    private final Map<String, Double> lastPromisedMillis = new HashMap<>();
    private final PolicyManager policies;
    private final UpstreamAvailability availability;
    private final UpstreamLoads loads;
    private final EngineModel engines;
    private final SplittableRandom random;

    RetryAfterEstimator(
            PolicyManager policies,
            UpstreamAvailability availability,
            UpstreamLoads loads,
            EngineModel engines,
            SplittableRandom random) {
        this.policies = policies;
        this.availability = availability;
        this.loads = loads;
        this.engines = engines;
        this.random = random;
    }

    /**
     * Returns when capacity for a request is expected: not before the first back-off ends if all
     * upstreams are backing off, and at a send slot of its own if all are limited.
     *
     * @param request the request
     * @param nowMillis the current time, in milliseconds
     * @return milliseconds from now, with jitter
     */
    long retryAfterMillis(ServingRequest request, long nowMillis) {
        String service = request.service();
        long unavailableMillis =
                availability.untilAnyAcceptsMillis(service, request.priority(), nowMillis);
        double intervalMillis = availability.ownIntervalMillis(service);
        if (unavailableMillis > 0 && intervalMillis > 0) {
            String queue = service + '/' + request.priority();
            return nextSendSlotMillis(
                    queue, nowMillis, nowMillis + unavailableMillis, intervalMillis);
        }
        long placeMillis =
                SlotForecast.millis(
                        availability.notLeaving(service),
                        loads,
                        engines.estimate(service, nowMillis),
                        bootMillis(service));
        return withJitter(Math.max(placeMillis, unavailableMillis));
    }

    /**
     * Promises each caller of a service and priority another send slot, if all upstreams are
     * limited.
     */
    private long nextSendSlotMillis(
            String queue, long nowMillis, long firstMillis, double intervalMillis) {
        double after = lastPromisedMillis.getOrDefault(queue, 0.0) + intervalMillis;
        double slot = Math.max((double) firstMillis, after);
        if (slot > firstMillis + MAX_PROMISED_DELAY_MILLIS) {
            return withJitter(firstMillis + MAX_PROMISED_DELAY_MILLIS - nowMillis);
        }
        lastPromisedMillis.put(queue, slot);
        return (long) Math.ceil(slot) - nowMillis;
    }

    /**
     * Adds jitter to a time for which callers are told to wait.
     *
     * @param millis the minimum time, in milliseconds
     * @return that time or up to half as much more
     */
    long withJitter(long millis) {
        return millis + Math.round(millis * MAX_JITTER_RATIO * random.nextDouble());
    }

    private OptionalLong bootMillis(String service) {
        return policies.policy()
                .flatMap(policy -> policy.service(service))
                .flatMap(ServiceSpec::scaling)
                .map(scaling -> OptionalLong.of(scaling.bootMillis()))
                .orElse(OptionalLong.empty());
    }
}
