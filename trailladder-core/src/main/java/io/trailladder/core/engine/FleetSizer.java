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

/**
 * Computes how many upstreams a load needs from the estimated speed of the upstreams.
 *
 * <p>An upstream reads prompts for one part of its time and generates answers in the rest, one in
 * each of its slots. Reading takes {@code tokens per millisecond x milliseconds per token}
 * upstreams, and the requests in flight occupy slots; both are added up. In addition, a prompt must
 * not wait longer for the prompts before it than the objective allows.
 *
 * @since 0.3
 */
public final class FleetSizer {
    /**
     * Fraction of the slots that may be occupied so that the load can vary by a half around its
     * mean.
     */
    private static final double TARGET_SLOT_UTILISATION = 0.6;

    /** Fraction of the slots that may be occupied while upstreams are scarce. */
    private static final double MAX_SLOT_UTILISATION = 0.85;

    /**
     * Fraction of the requests that may wait for the prompts before theirs longer than their
     * objective allows.
     */
    private static final double MAX_LATE_FRACTION = 0.05;

    /**
     * Number of upstreams that may have the prompt of a request cached, so that it can choose
     * between them without losing the cache.
     */
    private static final int PREFERRED_UPSTREAMS = 2;

    /** Bounds of the fraction of an upstream's time that reading may take. */
    private static final double MIN_READING_FRACTION = 0.2;

    private static final double MAX_READING_FRACTION = 0.8;
    private static final double READING_FRACTION_STEP = 0.01;

    private FleetSizer() {}

    /**
     * Computes the need.
     *
     * @param load the load
     * @param engine the estimated speed of the upstreams
     * @param slots requests that an upstream works on at once
     * @param objectiveMillis time within which a request needs its first event, in milliseconds
     * @return the need
     */
    public static FleetNeed need(
            ServiceLoad load, EngineEstimate engine, int slots, double objectiveMillis) {
        double reading = load.tokensPerMilli() * engine.millisPerToken();
        double slotsNeeded = load.running() / Math.max(1, slots);
        double residual = load.remainingTokens() * engine.millisPerToken();
        double wait = Math.max(0, objectiveMillis - engine.firstMillis() - residual);
        double inTime = reading / maxReadingFraction(residual, wait);
        double recommended = Math.max(reading + slotsNeeded / TARGET_SLOT_UTILISATION, inTime);
        double minimum =
                Math.max(
                        reading + slotsNeeded / MAX_SLOT_UTILISATION,
                        reading / MAX_READING_FRACTION);
        return new FleetNeed(recommended, minimum);
    }

    /**
     * Returns the largest fraction of its time that an upstream may read so that few requests wait
     * too long. The waiting time at one upstream is assumed to be exponential: it exceeds {@code
     * wait} with a probability of {@code busy x exp(-wait x (1 - busy) / residual)}. A request goes
     * to the better of at least {@link #PREFERRED_UPSTREAMS} upstreams, so it waits only if all of
     * these are busy.
     */
    private static double maxReadingFraction(double residualMillis, double waitMillis) {
        if (residualMillis <= 0) {
            return MAX_READING_FRACTION;
        }
        double busy = MIN_READING_FRACTION;
        while (busy < MAX_READING_FRACTION
                && StrictMath.pow(busy, PREFERRED_UPSTREAMS)
                                * StrictMath.exp(-waitMillis * (1 - busy) / residualMillis)
                        < MAX_LATE_FRACTION) {
            busy += READING_FRACTION_STEP;
        }
        return busy;
    }
}
