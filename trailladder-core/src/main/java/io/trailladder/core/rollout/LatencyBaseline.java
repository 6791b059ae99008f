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
 * Tells late answers from usual ones, by what answers of the old version on the same route take
 * against what was predicted for them. A process that has few of a route goes by all routes.
 *
 * @since 0.4
 */
public final class LatencyBaseline {
    /** How many times the usual an answer must take to count as late. */
    private static final double LATE_FACTOR = 2.5;

    /** How many times the usual an answer must take to count as slow. */
    private static final double SLOW_FACTOR = 1.5;

    /**
     * Answers of the old version on a route before which those of all routes tell what is usual,
     * and on all routes before which nothing counts as late.
     */
    private static final int MIN_ANSWERS = 5;

    /** Weight of the latest answer in the mean once some have been seen. */
    private static final double LATEST_WEIGHT = 0.05;

    /** Least time that a ratio is taken of, in milliseconds: a network's and a timer's. */
    private static final double MIN_MILLIS = 10;

    /** How far one answer may move the mean, in times the usual: an outlier is not a trend. */
    private static final double MAX_OUTLIER_FACTOR = 4;

    private final Map<String, RunningMean> byKind = new HashMap<>();

    /** The mean of one kind of time. */
    private static final class RunningMean {
        private double mean;
        private int count;

        void add(double ratio) {
            count++;
            double bounded = count > MIN_ANSWERS ? Math.min(ratio, MAX_OUTLIER_FACTOR * mean) : ratio;
            mean += Math.max(LATEST_WEIGHT, 1.0 / count) * (bounded - mean);
        }
    }

    /**
     * Records how long an answer of the old version took.
     *
     * @param route the route's name
     * @param kind what was measured
     * @param millis how long it took, in milliseconds
     * @param predictedMillis what was predicted, in milliseconds
     */
    public void observe(String route, String kind, double millis, double predictedMillis) {
        double ratio = ratio(millis, predictedMillis);
        byKind.computeIfAbsent(kind + route, name -> new RunningMean()).add(ratio);
        byKind.computeIfAbsent(kind, name -> new RunningMean()).add(ratio);
    }

    /**
     * Tells whether an answer came several times later than usual.
     *
     * @param times how many {@link #slowdown} the usual it took
     * @return false while too little is known
     */
    public static boolean isLate(double times) {
        return times > LATE_FACTOR;
    }

    /**
     * Tells whether an answer came clearly later than usual. Many do by chance; more of one version
     * than of the other do not.
     *
     * @param times how many {@link #slowdown} the usual it took
     * @return false while too little is known
     */
    public static boolean isSlow(double times) {
        return times > SLOW_FACTOR;
    }

    /**
     * Returns how many times the usual an answer took.
     *
     * @param route the route's name
     * @param kind what was measured
     * @param millis how long it took, in milliseconds
     * @param predictedMillis what was predicted, in milliseconds
     * @return a factor; 0 while too little is known
     */
    public double slowdown(String route, String kind, double millis, double predictedMillis) {
        RunningMean usual = byKind.get(kind + route);
        if (usual == null || usual.count < MIN_ANSWERS) {
            usual = byKind.get(kind);
        }
        boolean known = usual != null && usual.count >= MIN_ANSWERS;
        return known ? ratio(millis, predictedMillis) / usual.mean : 0;
    }

    private static double ratio(double millis, double predictedMillis) {
        return Math.max(MIN_MILLIS, millis) / Math.max(MIN_MILLIS, predictedMillis);
    }
}
