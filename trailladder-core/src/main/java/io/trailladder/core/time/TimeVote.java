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
package io.trailladder.core.time;

/**
 * The time of day as some processes see it.
 *
 * @param offsetMillis what is added to the steady clock of the process that holds the vote to get
 *     the time of day, in milliseconds
 * @param voters how many processes it speaks for
 * @since 0.3
 */
public record TimeVote(long offsetMillis, int voters) {
    /** Most processes that one vote is believed to speak for: some times the largest deployment. */
    public static final int MAX_VOTERS = 10_000;

    /**
     * Tells whether the figures can be true.
     *
     * @return false for a vote of nobody, or of absurdly many
     */
    public boolean isValid() {
        return voters > 0 && voters <= MAX_VOTERS;
    }
}
