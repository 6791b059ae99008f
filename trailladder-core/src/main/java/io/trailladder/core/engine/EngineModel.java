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
package io.trailladder.core.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the speed of the upstreams of each service, from the observations of this process and
 * those that its peers report.
 *
 * <p>The time to the first event is fitted as a line over the prompt tokens to be read, the pause
 * between events as a line over the requests in flight. Each fit starts with a few artificial
 * points of a slow engine, so that little evidence gives a cautious estimate. Observations lose
 * weight with time, and those far above the present estimate weigh less, so that one slow upstream
 * or a stalled link does not determine the estimate for all.
 *
 * <pre>{@code
 * EngineModel model = new EngineModel();
 * model.firstEvent("chat", 2_000, 0, 48, nowMillis);
 * double millisPerToken = model.estimate("chat", nowMillis).millisPerToken();
 * }</pre>
 *
 * @since 0.3
 */
public final class EngineModel {
    /**
     * Time constant of the decay of observations, in milliseconds: after it an observation has
     * about a third of its weight. It spans some hundred requests.
     */
    static final double DECAY_MILLIS = 20_000;

    /**
     * Points of the prior for reading: a small engine that reads 30 tokens per millisecond. With
     * twice the weight, an engine that reads 400 is estimated at 290 after 200 requests.
     */
    private static final FitSums PRIOR_READING =
            FitSums.NONE.with(0, 60, 0.75).with(4_000, 60 + 4_000 / 30.0, 0.75);

    /**
     * Points of the prior for pauses: 25 ms, and half a millisecond more for each request in
     * flight.
     */
    private static final FitSums PRIOR_PACING =
            FitSums.NONE.with(0, 25, 1.5).with(32, 25 + 16, 1.5);

    /** Weight of the prior for durations: half a request that takes {@link #PRIOR_RUN_MILLIS}. */
    private static final double PRIOR_RUNS = 0.5;

    private static final double PRIOR_RUN_MILLIS = 500;

    /**
     * Bounds of the estimated reading time, in milliseconds per token: from a thousand tokens per
     * millisecond to one.
     */
    static final double MIN_MILLIS_PER_TOKEN = 0.001;

    static final double MAX_MILLIS_PER_TOKEN = 1;

    /** Upper bound of all other estimated and observed times, in milliseconds: a minute. */
    private static final double MAX_MILLIS = 60_000;

    /**
     * Deviation from the estimate that never reduces an observation's weight, in milliseconds: the
     * jitter of timers and the network.
     */
    private static final double MIN_TOLERANCE_MILLIS = 20;

    /**
     * Exponent by which the weight of an observation falls with its deviation. At 1, one slow
     * upstream in ten makes the estimate 1.7 times as slow; at 2, a prior that is ten times too
     * fast is hardly corrected.
     */
    private static final double OUTLIER_EXPONENT = 1.5;

    /** Time for which an estimate is reused before it is computed again, in milliseconds. */
    private static final long ESTIMATE_VALIDITY_MILLIS = 100;

    private final Map<String, Learned> learned = new HashMap<>();
    private final Map<String, EngineEvidence> peerEvidence = new HashMap<>();

    /**
     * The observations of this process on one service, and the last estimate computed from all
     * evidence.
     */
    private static final class Learned {
        private EngineEvidence own;
        private long ownMillis;
        private EngineEstimate estimate;
        private long estimateMillis;

        Learned(String service, long nowMillis) {
            own = EngineEvidence.none(service);
            ownMillis = nowMillis;
        }

        void decay(long nowMillis) {
            long elapsed = nowMillis - ownMillis;
            if (elapsed > 0) {
                own = own.times(StrictMath.exp(-elapsed / DECAY_MILLIS));
                ownMillis = nowMillis;
            }
        }
    }

    /**
     * Records the first event of an answer.
     *
     * @param service the service
     * @param tokens prompt tokens that the upstream had to read before it
     * @param waitingTokens tokens of other prompts that were waiting at the upstream when the
     *     request was sent
     * @param tookMillis time since the request was sent, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void firstEvent(
            String service, int tokens, int waitingTokens, long tookMillis, long nowMillis) {
        double millis = (double) tookMillis;
        if (tokens < 0 || waitingTokens < 0 || !isValidMillis(millis)) {
            return;
        }
        EngineEstimate present = estimate(service, nowMillis);
        double toRead = (double) tokens + waitingTokens;
        double expected = present.firstMillis() + toRead * present.millisPerToken();
        // The count of waiting tokens is outdated and some of them are read already, so they are
        // less certain than those of the request's own prompt.
        double certainty = (tokens + 1.0) / (toRead + 1.0);
        double weight = certainty * plausibility(millis, expected);
        Learned entry = learned(service, nowMillis);
        entry.own = entry.own.withReading(toRead, millis, weight);
    }

    /**
     * Records the end of a complete answer to a request.
     *
     * @param service the service
     * @param tookMillis time since the request was sent, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void ended(String service, long tookMillis, long nowMillis) {
        double millis = (double) tookMillis;
        if (!isValidMillis(millis)) {
            return;
        }
        Learned entry = learned(service, nowMillis);
        entry.own = entry.own.withRun(millis);
    }

    /**
     * Records the mean pause between the events of a complete answer.
     *
     * @param service the service
     * @param running requests in flight at the upstream while the answer was sent
     * @param millis mean pause, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void paused(String service, double running, double millis, long nowMillis) {
        if (running < 0 || !isValidMillis(millis)) {
            return;
        }
        FitSums present = combinedEvidence(service).pacing().plus(PRIOR_PACING);
        double expected = present.meanY() + present.slope() * (running - present.meanX());
        Learned entry = learned(service, nowMillis);
        entry.own = entry.own.withPause(running, millis, plausibility(millis, expected));
    }

    /**
     * Returns the observations of this process alone, to be reported to its peers.
     *
     * @param nowMillis the current time, in milliseconds
     * @return its evidence on every service
     */
    public List<EngineEvidence> evidence(long nowMillis) {
        List<EngineEvidence> own = new ArrayList<>();
        for (Learned entry : learned.values()) {
            entry.decay(nowMillis);
            own.add(entry.own);
        }
        return own;
    }

    /**
     * Replaces the evidence of all other processes.
     *
     * @param reported valid evidence; evidence of several processes on one service is added up
     */
    public void peerEvidence(Collection<EngineEvidence> reported) {
        peerEvidence.clear();
        reported.forEach(
                evidence -> peerEvidence.merge(evidence.service(), evidence, EngineEvidence::plus));
    }

    /**
     * Returns the estimate for the upstreams of a service.
     *
     * @param service the service
     * @param nowMillis the current time, in milliseconds
     * @return the estimate; the prior if nothing was observed
     */
    public EngineEstimate estimate(String service, long nowMillis) {
        Learned entry = learned.computeIfAbsent(service, name -> new Learned(name, nowMillis));
        if (entry.estimate == null
                || nowMillis - entry.estimateMillis >= ESTIMATE_VALIDITY_MILLIS) {
            entry.decay(nowMillis);
            entry.estimate = computeEstimate(service);
            entry.estimateMillis = nowMillis;
        }
        return entry.estimate;
    }

    private EngineEstimate computeEstimate(String service) {
        EngineEvidence all = combinedEvidence(service);
        FitSums reading = all.reading().plus(PRIOR_READING);
        double perToken = clamp(reading.slope(), MIN_MILLIS_PER_TOKEN, MAX_MILLIS_PER_TOKEN);
        double first = clamp(reading.meanY() - perToken * reading.meanX(), 0, MAX_MILLIS);
        double perRequest = clamp(all.pacing().plus(PRIOR_PACING).slope(), 0, MAX_MILLIS);
        double runSum = all.runMillis() + PRIOR_RUNS * PRIOR_RUN_MILLIS;
        double run = clamp(runSum / (all.runs() + PRIOR_RUNS), 1, MAX_MILLIS);
        return new EngineEstimate(first, perToken, perRequest, run, all.runs());
    }

    private EngineEvidence combinedEvidence(String service) {
        EngineEvidence ofPeers = peerEvidence.getOrDefault(service, EngineEvidence.none(service));
        Learned entry = learned.get(service);
        return entry == null ? ofPeers : entry.own.plus(ofPeers);
    }

    private Learned learned(String service, long nowMillis) {
        Learned entry = learned.computeIfAbsent(service, name -> new Learned(name, nowMillis));
        entry.decay(nowMillis);
        return entry;
    }

    /**
     * Returns the weight of an observation: 1 within the tolerance, less the further it deviates,
     * since a large deviation is more likely caused by a fault than by the engine's speed.
     */
    private static double plausibility(double millis, double expected) {
        double deviation = Math.abs(millis - expected);
        double tolerance = Math.max(MIN_TOLERANCE_MILLIS, expected);
        return deviation <= tolerance ? 1 : StrictMath.pow(tolerance / deviation, OUTLIER_EXPONENT);
    }

    private static boolean isValidMillis(double millis) {
        return millis >= 0 && millis <= MAX_MILLIS;
    }

    private static double clamp(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
