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
 * Rates an answer as evidence for or against the version that gave it.
 *
 * @since 0.5
 */
public enum AnswerRating {
    /** The answer was successful and not slower than usual. */
    GOOD,
    /** The answer was clearly slower than usual. */
    SLOW,
    /** The answer failed, or was several times slower than usual. */
    BAD,
    /** The answer was broken off before it could be rated. */
    NOT_COUNTED;

    /**
     * Returns the rating of an answer that counts.
     *
     * @param isBad true if it failed or was several times slower than usual
     * @param isSlow true if it was clearly slower than usual
     * @return the rating
     */
    public static AnswerRating of(boolean isBad, boolean isSlow) {
        if (isBad) {
            return BAD;
        }
        return isSlow ? SLOW : GOOD;
    }
}
