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

/** Tails of the binomial distribution. */
final class Binomial {
    private Binomial() {}

    /**
     * Returns the probability of at most a number of successes.
     *
     * @param max the highest number of successes
     * @param trials the number of trials
     * @param probability the probability of success in each trial, from 0 to 1
     * @return a probability
     */
    static double atMost(int max, int trials, double probability) {
        if (max >= trials || probability <= 0) {
            return 1;
        }
        if (max < 0 || probability >= 1) {
            return 0;
        }
        double logOdds = StrictMath.log(probability) - StrictMath.log1p(-probability);
        double logTerm = trials * StrictMath.log1p(-probability);
        double sum = StrictMath.exp(logTerm);
        for (int i = 1; i <= max; i++) {
            logTerm += logOdds + StrictMath.log((trials - i + 1.0) / i);
            sum += StrictMath.exp(logTerm);
        }
        return Math.min(1, sum);
    }

    /**
     * Returns the probability of at least a number of successes.
     *
     * @param min the lowest number of successes
     * @param trials the number of trials
     * @param probability the probability of success in each trial, from 0 to 1
     * @return a probability
     */
    static double atLeast(int min, int trials, double probability) {
        return min <= 0 ? 1 : atMost(trials - min, trials, 1 - probability);
    }
}
