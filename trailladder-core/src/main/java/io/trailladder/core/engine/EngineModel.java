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
 * Learns how fast the upstreams of each service are, from what this process observes and what its
 * peers tell.
 *
 * <p>The time to the first event is fitted as a line over the prompt tokens to be read, the pause
 * between events as a line over the requests under way. Each fit begins with a few imagined points
 * of a slow engine, so that little evidence leads to caution. Observations lose weight with time,
 * and those far above what is believed count less, so that one slow upstream or a stalled link does
 * not set the figures of all.
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
    /** Time after which an observation counts a third, in milliseconds: some hundred requests. */
    static final double DECAY_MILLIS = 20_000;

    /**
     * The prior's points for reading: a small engine that reads 30 tokens a millisecond. With twice
     * the weight an engine of 400 is taken for one of 290 after 200 requests.
     */
    private static final FitSums PRIOR_READING =
            FitSums.NONE.with(0, 60, 0.75).with(4_000, 60 + 4_000 / 30.0, 0.75);

    /** The prior's points for pauses: 25 ms, and half a millisecond more for each request. */
    private static final FitSums PRIOR_PACING =
            FitSums.NONE.with(0, 25, 1.5).with(32, 25 + 16, 1.5);

    /** The prior's run: the weight of half a request that takes half a second. */
    private static final double PRIOR_RUNS = 0.5;

    private static final double PRIOR_RUN_MILLIS = 500;

    /** Bounds of what is believed: from a thousand tokens a millisecond to one. */
    static final double MIN_MILLIS_PER_TOKEN = 0.001;

    static final double MAX_MILLIS_PER_TOKEN = 1;

    /** Most that is believed of the other times, in milliseconds: a minute. */
    private static final double MAX_MILLIS = 60_000;

    /** Deviation that never counts as too far, in milliseconds: a timer's and a network's. */
    private static final double MIN_TOLERANCE_MILLIS = 20;

    /**
     * How fast trust falls with the deviation. At 1 one slow upstream in ten makes all look 1.7
     * times as slow, at 2 a prior that is ten times too fast is hardly left.
     */
    private static final double OUTLIER_EXPONENT = 1.5;

    /** How long an estimate is used before it is worked out anew, in milliseconds. */
    private static final long ESTIMATE_VALIDITY_MILLIS = 100;

    private final Map<String, Learned> learned = new HashMap<>();
    private final Map<String, EngineEvidence> peerEvidence = new HashMap<>();

    /** What this process observed of one service, and what it believes. */
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
                own = own.times(Math.exp(-elapsed / DECAY_MILLIS));
                ownMillis = nowMillis;
            }
        }
    }

    /**
     * Records the first event of an answer.
     *
     * @param service the service
     * @param tokens prompt tokens that the upstream had to read for it
     * @param waitingTokens tokens of other prompts that were waiting there when it was sent
     * @param took time since it was sent, in milliseconds
     * @param nowMillis the time
     */
    public void firstEvent(
            String service, int tokens, int waitingTokens, long took, long nowMillis) {
        double millis = (double) took;
        if (tokens < 0 || waitingTokens < 0 || !isValidMillis(millis)) {
            return;
        }
        EngineEstimate believed = estimate(service, nowMillis);
        double toRead = (double) tokens + waitingTokens;
        double expected = believed.firstMillis() + toRead * believed.millisPerToken();
        // What waits is known late and partly read already, so it tells less than the own prompt.
        double certainty = (tokens + 1.0) / (toRead + 1.0);
        double weight = certainty * plausibility(millis, expected);
        Learned of = learned(service, nowMillis);
        of.own = of.own.withReading(toRead, millis, weight);
    }

    /**
     * Records the whole answer to a request.
     *
     * @param service the service
     * @param took time since it was sent, in milliseconds
     * @param nowMillis the time
     */
    public void ended(String service, long took, long nowMillis) {
        double millis = (double) took;
        if (!isValidMillis(millis)) {
            return;
        }
        Learned of = learned(service, nowMillis);
        of.own = of.own.withRun(millis);
    }

    /**
     * Records the pauses between the events of a whole answer.
     *
     * @param service the service
     * @param running requests under way at the upstream meanwhile
     * @param millis mean pause, in milliseconds
     * @param nowMillis the time
     */
    public void paused(String service, double running, double millis, long nowMillis) {
        if (running < 0 || !isValidMillis(millis)) {
            return;
        }
        FitSums believed = combinedEvidence(service).pacing().plus(PRIOR_PACING);
        double expected = believed.meanY() + believed.slope() * (running - believed.meanX());
        Learned of = learned(service, nowMillis);
        of.own = of.own.withPause(running, millis, plausibility(millis, expected));
    }

    /**
     * Returns what this process observed itself, to be told to its peers.
     *
     * @param nowMillis the time
     * @return its evidence on every service
     */
    public List<EngineEvidence> evidence(long nowMillis) {
        List<EngineEvidence> own = new ArrayList<>();
        for (Learned of : learned.values()) {
            of.decay(nowMillis);
            own.add(of.own);
        }
        return own;
    }

    /**
     * Takes over what all other processes observed, in place of what they told before.
     *
     * @param told sound evidence, several on a service are added up
     */
    public void peerEvidence(Collection<EngineEvidence> told) {
        peerEvidence.clear();
        told.forEach(evidence -> peerEvidence.merge(evidence.service(), evidence, EngineEvidence::plus));
    }

    /**
     * Returns what is believed of the upstreams of a service.
     *
     * @param service the service
     * @param nowMillis the time
     * @return the estimate; the prior if nothing was observed
     */
    public EngineEstimate estimate(String service, long nowMillis) {
        Learned of = learned.computeIfAbsent(service, name -> new Learned(name, nowMillis));
        if (of.estimate == null || nowMillis - of.estimateMillis >= ESTIMATE_VALIDITY_MILLIS) {
            of.decay(nowMillis);
            of.estimate = computeEstimate(service);
            of.estimateMillis = nowMillis;
        }
        return of.estimate;
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
        EngineEvidence told = peerEvidence.getOrDefault(service, EngineEvidence.none(service));
        Learned of = learned.get(service);
        return of == null ? told : of.own.plus(told);
    }

    private Learned learned(String service, long nowMillis) {
        Learned of = learned.computeIfAbsent(service, name -> new Learned(name, nowMillis));
        of.decay(nowMillis);
        return of;
    }

    /** An observation far above what is believed says more of a fault than of the engine. */
    private static double plausibility(double millis, double expected) {
        double deviation = Math.abs(millis - expected);
        double usual = Math.max(MIN_TOLERANCE_MILLIS, expected);
        return deviation <= usual ? 1 : Math.pow(usual / deviation, OUTLIER_EXPONENT);
    }

    private static boolean isValidMillis(double millis) {
        return millis >= 0 && millis <= MAX_MILLIS;
    }

    private static double clamp(double value, double least, double most) {
        return Math.max(least, Math.min(most, value));
    }
}
