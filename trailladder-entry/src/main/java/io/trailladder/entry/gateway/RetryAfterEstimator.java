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

/** Tells callers whose requests have not run when coming back may help. */
final class RetryAfterEstimator {
    /**
     * How much later some callers are told to come back than others, as a part of the time told:
     * those that were turned away together must not all return at once.
     */
    private static final double MAX_JITTER_RATIO = 0.5;

    /** Latest turn that a caller is told of, in milliseconds after the first. */
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
     * Returns when a place for a request is expected: not before the first upstream has rested, if
     * all rest, and at a turn of its own if all are limited.
     *
     * @param request the request
     * @param nowMillis the time
     * @return milliseconds from now, spread over callers
     */
    long retryAfterMillis(ServingRequest request, long nowMillis) {
        String service = request.service();
        long noneTakes = availability.untilAnyAcceptsMillis(service, request.priority(), nowMillis);
        double every = availability.ownIntervalMillis(service);
        if (noneTakes > 0 && every > 0) {
            String queue = service + '/' + request.priority();
            return nextSendSlotMillis(queue, nowMillis, nowMillis + noneTakes, every);
        }
        long place =
                SlotForecast.millis(
                        availability.notLeaving(service),
                        loads,
                        engines.estimate(service, nowMillis),
                        bootMillis(service));
        return withJitter(Math.max(place, noneTakes));
    }

    /**
     * Tells each caller of a service and rank of another turn at upstreams that are all limited.
     */
    private long nextSendSlotMillis(String queue, long nowMillis, long firstMillis, double everyMillis) {
        double after = lastPromisedMillis.getOrDefault(queue, 0.0) + everyMillis;
        double turn = Math.max((double) firstMillis, after);
        if (turn > firstMillis + MAX_PROMISED_DELAY_MILLIS) {
            return withJitter(firstMillis + MAX_PROMISED_DELAY_MILLIS - nowMillis);
        }
        lastPromisedMillis.put(queue, turn);
        return (long) Math.ceil(turn) - nowMillis;
    }

    /**
     * Spreads callers that are told the same time.
     *
     * @param millis the least time, in milliseconds
     * @return that time or somewhat more
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
