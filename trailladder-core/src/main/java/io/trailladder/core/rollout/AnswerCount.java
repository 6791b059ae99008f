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

/**
 * Counts the answers of one version on one route since the order.
 *
 * @param answers answers that ended, successful or not
 * @param bad answers that failed or were several times slower than usual
 * @param slow answers that failed or were clearly slower than usual, the bad ones included
 * @since 0.4
 */
public record AnswerCount(int answers, int bad, int slow) {
    /** No answers. */
    public static final AnswerCount NONE = new AnswerCount(0, 0, 0);

    /** Highest plausible number of answers of one process and all processes that it represents. */
    private static final int MAX_ANSWERS = 10_000_000;

    /**
     * Creates a count in which only bad answers were slow.
     *
     * @param answers answers that ended, successful or not
     * @param bad answers that failed or were several times slower than usual
     */
    public AnswerCount(int answers, int bad) {
        this(answers, bad, bad);
    }

    /**
     * Returns the sum of this count and another.
     *
     * @param other another count
     * @return the sum
     */
    public AnswerCount plus(AnswerCount other) {
        return new AnswerCount(answers + other.answers, bad + other.bad, slow + other.slow);
    }

    /**
     * Returns this count with one more answer, which was not slow unless it is bad.
     *
     * @param isBad true if it failed or was several times slower than usual
     * @return the new count
     */
    public AnswerCount with(boolean isBad) {
        return with(isBad, isBad);
    }

    /**
     * Returns this count with one more answer.
     *
     * @param isBad true if it failed or was several times slower than usual
     * @param isSlow true if it was clearly slower than usual
     * @return the new count
     */
    public AnswerCount with(boolean isBad, boolean isSlow) {
        return new AnswerCount(
                answers + 1, bad + (isBad ? 1 : 0), slow + (isBad || isSlow ? 1 : 0));
    }

    /**
     * Returns whether a count that another process reports is plausible.
     *
     * @return false if a figure is negative, implausibly large or higher than the one that includes
     *     it
     */
    public boolean isValid() {
        return answers >= 0 && answers <= MAX_ANSWERS && bad >= 0 && bad <= slow && slow <= answers;
    }
}
