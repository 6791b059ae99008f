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
 * Answers of one version on one route since the order.
 *
 * @param answers how many ended, well or badly
 * @param bad how many of them failed or came several times later than usual
 * @param slow how many of them failed or came clearly later than usual, the bad ones among them
 * @since 0.4
 */
public record AnswerCount(int answers, int bad, int slow) {
    /** No answers. */
    public static final AnswerCount NONE = new AnswerCount(0, 0, 0);

    /** Most answers that are believed of one process and all it speaks for. */
    private static final int MAX_ANSWERS = 10_000_000;

    /**
     * Creates a count in which only bad answers came late.
     *
     * @param answers how many ended, well or badly
     * @param bad how many of them failed or came several times later than usual
     */
    public AnswerCount(int answers, int bad) {
        this(answers, bad, bad);
    }

    /**
     * Returns the sum of both.
     *
     * @param other another count
     * @return their sum
     */
    public AnswerCount plus(AnswerCount other) {
        return new AnswerCount(answers + other.answers, bad + other.bad, slow + other.slow);
    }

    /**
     * Returns the count with one more answer, which came in time unless it is bad.
     *
     * @param isBad true if it failed or came several times later than usual
     * @return the new count
     */
    public AnswerCount with(boolean isBad) {
        return with(isBad, isBad);
    }

    /**
     * Returns the count with one more answer.
     *
     * @param isBad true if it failed or came several times later than usual
     * @param isSlow true if it came clearly later than usual
     * @return the new count
     */
    public AnswerCount with(boolean isBad, boolean isSlow) {
        return new AnswerCount(
                answers + 1, bad + (isBad ? 1 : 0), slow + (isBad || isSlow ? 1 : 0));
    }

    /**
     * Tells whether a count that another process tells can be true.
     *
     * @return false if a figure is negative, absurdly large or beyond its whole
     */
    public boolean isValid() {
        return answers >= 0 && answers <= MAX_ANSWERS && bad >= 0 && bad <= slow && slow <= answers;
    }
}
