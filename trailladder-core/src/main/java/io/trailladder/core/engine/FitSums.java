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
 * The sums of a weighted least-squares fit of a line through points. Sums of several processes are
 * added up to the fit over all their points.
 *
 * @param weight sum of the points' weights
 * @param x weighted sum of their first figures
 * @param y weighted sum of their second figures
 * @param xx weighted sum of the squares of the first figures
 * @param xy weighted sum of the products of both figures
 * @since 0.3
 */
public record FitSums(double weight, double x, double y, double xx, double xy) {
    /** The sums over no points. */
    public static final FitSums NONE = new FitSums(0, 0, 0, 0, 0);

    /** Most weight that a sound sum has: a million points a second over some seconds. */
    private static final double MAX_WEIGHT = 1e8;

    /** Largest sum that is believed; beyond it a figure is absurd, whatever it is of. */
    private static final double MAX_SUM = 1e20;

    /**
     * Returns the sums with one more point.
     *
     * @param pointX the point's first figure
     * @param pointY the point's second figure
     * @param pointWeight its weight
     * @return the new sums
     */
    public FitSums with(double pointX, double pointY, double pointWeight) {
        return new FitSums(
                weight + pointWeight,
                x + pointWeight * pointX,
                y + pointWeight * pointY,
                xx + pointWeight * pointX * pointX,
                xy + pointWeight * pointX * pointY);
    }

    /**
     * Returns the sums over the points of both.
     *
     * @param other other sums
     * @return the new sums
     */
    public FitSums plus(FitSums other) {
        return new FitSums(
                weight + other.weight, x + other.x, y + other.y, xx + other.xx, xy + other.xy);
    }

    /**
     * Returns the sums with all weights multiplied.
     *
     * @param factor the factor
     * @return the new sums
     */
    public FitSums times(double factor) {
        return new FitSums(weight * factor, x * factor, y * factor, xx * factor, xy * factor);
    }

    /**
     * Returns the slope of the line.
     *
     * @return change of the second figure for each unit of the first; 0 if all points have the same
     *     first figure
     */
    public double slope() {
        double spread = weight * xx - x * x;
        return spread <= 0 ? 0 : (weight * xy - x * y) / spread;
    }

    /**
     * Returns the mean of the first figures.
     *
     * @return the mean; 0 without points
     */
    public double meanX() {
        return weight <= 0 ? 0 : x / weight;
    }

    /**
     * Returns the mean of the second figures.
     *
     * @return the mean; 0 without points
     */
    public double meanY() {
        return weight <= 0 ? 0 : y / weight;
    }

    /**
     * Tells whether the sums can be those of points with figures of 0 or more.
     *
     * @return false if a sum is negative, not a number or absurdly large
     */
    public boolean isValid() {
        return isValid(weight, MAX_WEIGHT)
                && isValid(x, MAX_SUM)
                && isValid(y, MAX_SUM)
                && isValid(xx, MAX_SUM)
                && isValid(xy, MAX_SUM);
    }

    private static boolean isValid(double sum, double most) {
        return sum >= 0 && sum <= most;
    }
}
