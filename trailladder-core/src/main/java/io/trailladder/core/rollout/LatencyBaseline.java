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
package io.trailladder.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects late answers by comparing their time with that of the old version's answers on the same
 * route, both relative to their predicted times. While a process has too few answers of a route,
 * those of all routes are used.
 *
 * @since 0.4
 */
public final class LatencyBaseline {
    /** Slowdown above which an answer is late. */
    private static final double LATE_FACTOR = 2.5;

    /** Slowdown above which an answer is slow. */
    private static final double SLOW_FACTOR = 1.5;

    /**
     * Answers of the old version on a route below which those of all routes are used, and on all
     * routes below which no answer is late.
     */
    private static final int MIN_ANSWERS = 5;

    /** Lower limit of the weight of the latest answer in the mean. */
    private static final double LATEST_WEIGHT = 0.05;

    /**
     * Shortest time used in a ratio, in milliseconds; shorter ones are mostly network and timer
     * delay.
     */
    private static final double MIN_MILLIS = 10;

    /**
     * Limit of one value, as a multiple of the mean, so that an outlier does not shift the mean.
     */
    private static final double MAX_OUTLIER_FACTOR = 4;

    private final Map<String, RunningMean> byKind = new HashMap<>();

    /** The mean ratio of one kind of time. */
    private static final class RunningMean {
        private double mean;
        private int count;

        void add(double ratio) {
            count++;
            double bounded =
                    count > MIN_ANSWERS ? Math.min(ratio, MAX_OUTLIER_FACTOR * mean) : ratio;
            mean += Math.max(LATEST_WEIGHT, 1.0 / count) * (bounded - mean);
        }
    }

    /**
     * Records how long an answer of the old version took.
     *
     * @param route the route's name
     * @param kind what was measured
     * @param millis the measured time, in milliseconds
     * @param predictedMillis the predicted time, in milliseconds
     */
    public void observe(String route, String kind, double millis, double predictedMillis) {
        double ratio = ratio(millis, predictedMillis);
        byKind.computeIfAbsent(kind + route, name -> new RunningMean()).add(ratio);
        byKind.computeIfAbsent(kind, name -> new RunningMean()).add(ratio);
    }

    /**
     * Returns whether an answer was several times slower than usual.
     *
     * @param slowdown the {@link #slowdown} of the answer
     * @return false while too little is known
     */
    public static boolean isLate(double slowdown) {
        return slowdown > LATE_FACTOR;
    }

    /**
     * Returns whether an answer was clearly slower than usual. Many are so by chance; a higher
     * share at one version than at the other is not due to chance.
     *
     * @param slowdown the {@link #slowdown} of the answer
     * @return false while too little is known
     */
    public static boolean isSlow(double slowdown) {
        return slowdown > SLOW_FACTOR;
    }

    /**
     * Returns the ratio of an answer's time to the usual time.
     *
     * @param route the route's name
     * @param kind what was measured
     * @param millis the measured time, in milliseconds
     * @param predictedMillis the predicted time, in milliseconds
     * @return a factor; 0 while too little is known
     */
    public double slowdown(String route, String kind, double millis, double predictedMillis) {
        RunningMean mean = byKind.get(kind + route);
        if (mean == null || mean.count < MIN_ANSWERS) {
            mean = byKind.get(kind);
        }
        boolean known = mean != null && mean.count >= MIN_ANSWERS;
        return known ? ratio(millis, predictedMillis) / mean.mean : 0;
    }

    private static double ratio(double millis, double predictedMillis) {
        return Math.max(MIN_MILLIS, millis) / Math.max(MIN_MILLIS, predictedMillis);
    }
}
