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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Checks that the model estimates the speed of simulated engines, and that outliers and invalid
 * evidence do not distort the estimate.
 */
class EngineModelProperties {
    private static final int REQUESTS_PER_SECOND = 20;
    private static final int SECONDS = 10;

    /** An engine with the times that the model is to estimate. */
    private record SimulatedEngine(double firstMillis, double tokensPerMilli, double slowFactor) {
        long firstEvent(int tokens, SplittableRandom random) {
            double jitter = 5 * random.nextDouble();
            return Math.round(slowFactor * (firstMillis + tokens / tokensPerMilli) + jitter);
        }
    }

    private static void serve(
            EngineModel model, List<SimulatedEngine> engines, long fromMillis, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < SECONDS * REQUESTS_PER_SECOND; i++) {
            long now = fromMillis + i * 1_000L / REQUESTS_PER_SECOND;
            int tokens = (int) StrictMath.exp(5 + 4 * random.nextDouble());
            SimulatedEngine engine = engines.get(random.nextInt(engines.size()));
            model.firstEvent("s", tokens, 0, engine.firstEvent(tokens, random), now);
            model.ended("s", 800, now);
        }
    }

    private static double tokensPerMilli(EngineModel model, long nowMillis) {
        return 1 / model.estimate("s", nowMillis).millisPerToken();
    }

    @Property(tries = 1_000, seed = "20261202")
    void anySpeedIsEstimatedWithinTenSeconds(
            @ForAll @DoubleRange(min = 5, max = 400) double speed,
            @ForAll @DoubleRange(min = 0, max = 200) double first,
            @ForAll @LongRange(min = 0, max = 1_000) long seed) {
        EngineModel model = new EngineModel();
        serve(model, List.of(new SimulatedEngine(first, speed, 1)), 0, seed);
        double estimated = tokensPerMilli(model, SECONDS * 1_000L);
        assertTrue(
                estimated > 0.75 * speed && estimated < 1.35 * speed,
                speed + " estimated as " + estimated);
    }

    @Example
    void veryFastEnginesAreEstimatedWithinTenSeconds() {
        anySpeedIsEstimatedWithinTenSeconds(337.81, 3.72, 2);
        anySpeedIsEstimatedWithinTenSeconds(400, 4.91, 2);
    }

    @Property(tries = 1_000, seed = "20261202")
    void oneSlowUpstreamInTenDoesNotDistortTheEstimate(
            @ForAll @DoubleRange(min = 20, max = 200) double speed,
            @ForAll @LongRange(min = 0, max = 1_000) long seed) {
        SimulatedEngine usual = new SimulatedEngine(30, speed, 1);
        SimulatedEngine slow = new SimulatedEngine(30, speed, 8);
        EngineModel model = new EngineModel();
        List<SimulatedEngine> engines =
                List.of(usual, usual, usual, usual, usual, usual, usual, usual, usual, slow);
        for (int i = 0; i < 3; i++) {
            serve(model, engines, 1_000L * i * SECONDS, seed + i);
        }
        double estimated = tokensPerMilli(model, 3 * SECONDS * 1_000L);
        assertTrue(
                estimated > 0.6 * speed && estimated < 1.4 * speed,
                speed + " estimated as " + estimated);
    }

    @Property(tries = 1_000, seed = "20261202")
    void estimateFollowsAChangeOfSpeed(@ForAll @LongRange(min = 0, max = 1_000) long seed) {
        EngineModel model = new EngineModel();
        serve(model, List.of(new SimulatedEngine(30, 100, 1)), 0, seed);
        for (int i = 1; i <= 6; i++) {
            long from = 1_000L * i * SECONDS;
            serve(model, List.of(new SimulatedEngine(30, 25, 1)), from, seed + i);
        }
        assertEquals(25, tokensPerMilli(model, 7 * SECONDS * 1_000L), 10);
    }

    @Example
    void withoutObservationsASlowEngineIsAssumed() {
        EngineEstimate prior = new EngineModel().estimate("s", 0);
        assertEquals(30, 1 / prior.millisPerToken(), 1);
        assertEquals(0, prior.observations());
    }

    @Example
    void peerEvidenceIsUsedRightAfterAStart() {
        EngineModel peer = new EngineModel();
        serve(peer, List.of(new SimulatedEngine(30, 150, 1)), 0, 1);
        EngineModel started = new EngineModel();
        started.peerEvidence(peer.evidence(SECONDS * 1_000L));
        assertEquals(150, tokensPerMilli(started, SECONDS * 1_000L), 25);
    }

    @Example
    void evidenceOfPeersIsReplacedAndNotCountedTwice() {
        EngineModel peer = new EngineModel();
        serve(peer, List.of(new SimulatedEngine(30, 150, 1)), 0, 1);
        EngineModel model = new EngineModel();
        model.peerEvidence(peer.evidence(10_000));
        model.peerEvidence(peer.evidence(10_000));
        double once = peer.evidence(10_000).get(0).runs();
        assertEquals(once, model.estimate("s", 10_000).observations(), 0.01);
    }

    @Property(tries = 1_000, seed = "20261202")
    void estimatesStayWithinBoundsWhateverIsObserved(
            @ForAll List<@IntRange(min = -5, max = 1_000_000) Integer> tokens,
            @ForAll List<@LongRange(min = -1_000, max = 1_000_000) Long> times) {
        EngineModel model = new EngineModel();
        long now = 0;
        for (int i = 0; i < Math.min(tokens.size(), times.size()); i++) {
            now += 10;
            model.firstEvent("s", tokens.get(i), Math.abs(tokens.get(i)), times.get(i), now);
            model.ended("s", times.get(i), now);
            model.paused("s", tokens.get(i), times.get(i).doubleValue(), now);
        }
        EngineEstimate estimate = model.estimate("s", now + 1_000);
        assertTrue(estimate.millisPerToken() >= EngineModel.MIN_MILLIS_PER_TOKEN);
        assertTrue(estimate.millisPerToken() <= EngineModel.MAX_MILLIS_PER_TOKEN);
        assertTrue(estimate.firstMillis() >= 0 && estimate.runMillis() >= 1);
        assertTrue(estimate.pauseMillisPerRequest() >= 0);
        assertTrue(model.evidence(now + 1_000).stream().allMatch(EngineEvidence::isValid));
    }

    @Example
    void outOfRangeEvidenceIsInvalid() {
        FitSums notANumber = new FitSums(Double.NaN, 1, 1, 1, 1);
        FitSums negative = new FitSums(1, -1, 1, 1, 1);
        FitSums tooLarge = new FitSums(1, 1e300, 1, 1, 1);
        for (FitSums sums : List.of(notANumber, negative, tooLarge)) {
            assertFalse(new EngineEvidence("s", sums, FitSums.NONE, 1, 1).isValid());
            assertFalse(new EngineEvidence("s", FitSums.NONE, sums, 1, 1).isValid());
        }
        assertFalse(new EngineEvidence("s", FitSums.NONE, FitSums.NONE, 1, 1e9).isValid());
        assertFalse(new EngineEvidence(null, FitSums.NONE, FitSums.NONE, 1, 1).isValid());
        assertTrue(EngineEvidence.none("s").isValid());
    }
}
