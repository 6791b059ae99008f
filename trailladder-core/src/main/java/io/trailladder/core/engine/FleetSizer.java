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
 * Works out how many upstreams a load needs, from what is believed of their speed.
 *
 * <p>An upstream is busy reading prompts for one part of its time and makes answers in the rest, in
 * as many places as it has. Reading takes {@code tokens a millisecond x milliseconds a token}
 * upstreams, and the requests under way fill places; both add up. Besides, a prompt must not wait
 * longer for the prompts before it than the objective allows.
 *
 * @since 0.3
 */
public final class FleetSizer {
    /** Part of the places that may be taken while the load swings by a half around its mean. */
    private static final double TARGET_SLOT_UTILISATION = 0.6;

    /** Part of the places that may be taken while upstreams are short. */
    private static final double MAX_SLOT_UTILISATION = 0.85;

    /** Part of the requests that may wait longer for prompts before theirs than is left to them. */
    private static final double MAX_LATE_FRACTION = 0.05;

    /**
     * Upstreams that a request can choose from without losing what is cached for it: the two homes
     * of its prompt.
     */
    private static final int PREFERRED_UPSTREAMS = 2;

    /** Bounds of the part of an upstream's time that reading may take. */
    private static final double MIN_READING_FRACTION = 0.2;

    private static final double MAX_READING_FRACTION = 0.8;
    private static final double READING_FRACTION_STEP = 0.01;

    private FleetSizer() {}

    /**
     * Works out the need.
     *
     * @param load the load
     * @param engine what is believed of the upstreams
     * @param slots requests that an upstream works on at once
     * @param objectiveMillis time inside which a request needs its first event, in milliseconds
     * @return the need
     */
    public static FleetNeed need(
            ServiceLoad load, EngineEstimate engine, int slots, double objectiveMillis) {
        double reading = load.tokensPerMilli() * engine.millisPerToken();
        double places = load.running() / Math.max(1, slots);
        double left = load.remainingTokens() * engine.millisPerToken();
        double wait = Math.max(0, objectiveMillis - engine.firstMillis() - left);
        double inTime = reading / maxReadingFraction(left, wait);
        double comfortable = Math.max(reading + places / TARGET_SLOT_UTILISATION, inTime);
        double tight = Math.max(reading + places / MAX_SLOT_UTILISATION, reading / MAX_READING_FRACTION);
        return new FleetNeed(comfortable, tight);
    }

    /**
     * The largest part of its time that an upstream may read so that few requests wait too long.
     * The waiting time at one upstream is taken as exponential: it exceeds {@code wait} for a part
     * of {@code busy x exp(-wait x (1 - busy) / left)}. A request goes to the better of at least
     * {@link #PREFERRED_UPSTREAMS} upstreams, so it waits only if all of these are busy.
     */
    private static double maxReadingFraction(double leftMillis, double waitMillis) {
        if (leftMillis <= 0) {
            return MAX_READING_FRACTION;
        }
        double busy = MIN_READING_FRACTION;
        while (busy < MAX_READING_FRACTION
                && Math.pow(busy, PREFERRED_UPSTREAMS) * Math.exp(-waitMillis * (1 - busy) / leftMillis)
                        < MAX_LATE_FRACTION) {
            busy += READING_FRACTION_STEP;
        }
        return busy;
    }
}
