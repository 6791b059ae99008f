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
import io.trailladder.core.topology.Distance;
import io.trailladder.core.topology.Topology;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The cost terms that every gateway applies: distance, failures, and the predicted time to the
 * first answer. The work that a choice adds has a weight above 1 because it delays later requests.
 */
final class CostTerms {
    /** Weight of the round trip; above 1 because traffic between data centres is expensive. */
    private static final double LATENCY_WEIGHT = 4;

    /** Cost of each kilobyte sent to another data centre of the region, in milliseconds. */
    private static final double MILLIS_PER_KB = 0.5;

    /** Weight of reading the request's own prompt, which delays the request and those after it. */
    private static final double OWN_READING_WEIGHT = 2;

    /** Cost of an upstream that fails all of its requests, in milliseconds: a typical objective. */
    private static final double FAILURE_COST_MILLIS = 400;

    /** How long a data centre is avoided after a connection to it failed, in milliseconds. */
    private static final long SUSPECT_DURATION_MILLIS = 1_500;

    /** Cost of an upstream in such a data centre, in milliseconds: above any objective. */
    private static final double SUSPECT_PENALTY_MILLIS = 600;

    private static final double BYTES_PER_KB = 1024;

    private final Topology topology;
    private final UpstreamLoads loads;
    private final Map<String, Long> suspectUntilMillis = new HashMap<>();

    CostTerms(Topology topology, UpstreamLoads loads) {
        this.topology = topology;
        this.loads = loads;
    }

    List<CostTerm> all() {
        return List.of(
                CostTerm.of("distance", this::distance),
                CostTerm.of("failures", this::failures),
                CostTerm.of("suspect", this::suspect),
                CostTerm.of("reading", CostTerms::reading),
                CostTerm.of("batch", CostTerms::batch),
                CostTerm.of("place", CostTerms::slotWait));
    }

    /** Records that a connection to an upstream failed. */
    void unreachable(Upstream upstream, long nowMillis) {
        if (!topology.isLocal(upstream.dataCentre())) {
            suspectUntilMillis.put(upstream.dataCentre(), nowMillis + SUSPECT_DURATION_MILLIS);
        }
    }

    private double distance(Candidate candidate) {
        Distance distance = topology.distance(candidate.upstream().dataCentre());
        if (distance == Distance.SAME_DATA_CENTRE) {
            return 0;
        }
        double roundTripMillis = 2 * distance.oneWayMillis();
        double millisPerKb = MILLIS_PER_KB * distance.bytePrice();
        return LATENCY_WEIGHT * roundTripMillis
                + millisPerKb * candidate.request().bodyBytes() / BYTES_PER_KB;
    }

    private double failures(Candidate candidate) {
        return loads.failedFraction(candidate.upstream().id()) * FAILURE_COST_MILLIS;
    }

    private double suspect(Candidate candidate) {
        long now = candidate.nowMillis();
        long until = suspectUntilMillis.getOrDefault(candidate.upstream().dataCentre(), now);
        return until > now ? SUSPECT_PENALTY_MILLIS : 0;
    }

    private static double reading(Candidate candidate) {
        int tokensIn = candidate.request().prompt().tokensIn();
        if (tokensIn <= 0) {
            return 0;
        }
        EngineEstimate engine = candidate.engine();
        int uncached = Math.max(0, tokensIn - candidate.cachedTokens());
        double tokensToRead = candidate.waitingTokens() + OWN_READING_WEIGHT * uncached;
        return engine.firstMillis() + tokensToRead * engine.millisPerToken();
    }

    private static double batch(Candidate candidate) {
        boolean prompted = candidate.request().prompt().tokensIn() > 0;
        return prompted ? candidate.running() * candidate.engine().pauseMillisPerRequest() : 0;
    }

    private static double slotWait(Candidate candidate) {
        EngineEstimate engine = candidate.engine();
        int slots = candidate.upstream().slots();
        if (candidate.request().prompt().tokensIn() > 0) {
            return engine.slotWaitMillis(candidate.running(), slots);
        }
        return engine.runMillis() * (candidate.running() + 1.0) / Math.max(1, slots);
    }
}
