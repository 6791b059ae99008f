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
public final class PaceBaseline {
    /** How many times the usual an answer must take to count as late. */
    private static final double LATE_TIMES = 2.5;

    /** How many times the usual an answer must take to count as slow. */
    private static final double SLOW_TIMES = 1.5;

    /**
     * Answers of the old version on a route before which those of all routes tell what is usual,
     * and on all routes before which nothing counts as late.
     */
    private static final int LEAST_SEEN = 5;

    /** Weight of the latest answer in the mean once some have been seen. */
    private static final double WEIGHT = 0.05;

    /** Least time that a ratio is taken of, in milliseconds: a network's and a timer's. */
    private static final double LEAST_MILLIS = 10;

    /** How far one answer may move the mean, in times the usual: an outlier is not a trend. */
    private static final double MOST_TIMES = 4;

    private final Map<String, Usual> byKind = new HashMap<>();

    /** The mean of one kind of time. */
    private static final class Usual {
        private double mean;
        private int seen;

        void add(double ratio) {
            seen++;
            double bounded = seen > LEAST_SEEN ? Math.min(ratio, MOST_TIMES * mean) : ratio;
            mean += Math.max(WEIGHT, 1.0 / seen) * (bounded - mean);
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
    public void usual(String route, String kind, double millis, double predictedMillis) {
        double ratio = ratio(millis, predictedMillis);
        byKind.computeIfAbsent(kind + route, name -> new Usual()).add(ratio);
        byKind.computeIfAbsent(kind, name -> new Usual()).add(ratio);
    }

    /**
     * Tells whether an answer came several times later than usual.
     *
     * @param times how many {@link #times} the usual it took
     * @return false while too little is known
     */
    public static boolean isLate(double times) {
        return times > LATE_TIMES;
    }

    /**
     * Tells whether an answer came clearly later than usual. Many do by chance; more of one version
     * than of the other do not.
     *
     * @param times how many {@link #times} the usual it took
     * @return false while too little is known
     */
    public static boolean isSlow(double times) {
        return times > SLOW_TIMES;
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
    public double times(String route, String kind, double millis, double predictedMillis) {
        Usual usual = byKind.get(kind + route);
        if (usual == null || usual.seen < LEAST_SEEN) {
            usual = byKind.get(kind);
        }
        boolean known = usual != null && usual.seen >= LEAST_SEEN;
        return known ? ratio(millis, predictedMillis) / usual.mean : 0;
    }

    private static double ratio(double millis, double predictedMillis) {
        return Math.max(LEAST_MILLIS, millis) / Math.max(LEAST_MILLIS, predictedMillis);
    }
}
