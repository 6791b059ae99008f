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
     * Returns how likely at most some of a number of trials succeed.
     *
     * @param most most successes
     * @param trials the trials
     * @param chance how likely each succeeds, from 0 to 1
     * @return a probability
     */
    static double atMost(int most, int trials, double chance) {
        if (most >= trials || chance <= 0) {
            return 1;
        }
        if (most < 0 || chance >= 1) {
            return 0;
        }
        double logOdds = Math.log(chance) - Math.log1p(-chance);
        double logTerm = trials * Math.log1p(-chance);
        double sum = Math.exp(logTerm);
        for (int i = 1; i <= most; i++) {
            logTerm += logOdds + Math.log((trials - i + 1.0) / i);
            sum += Math.exp(logTerm);
        }
        return Math.min(1, sum);
    }

    /**
     * Returns how likely at least some of a number of trials succeed.
     *
     * @param least least successes
     * @param trials the trials
     * @param chance how likely each succeeds, from 0 to 1
     * @return a probability
     */
    static double atLeast(int least, int trials, double chance) {
        return least <= 0 ? 1 : atMost(trials - least, trials, 1 - chance);
    }
}
