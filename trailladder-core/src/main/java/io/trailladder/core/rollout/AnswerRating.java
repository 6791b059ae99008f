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
 * What an answer says of the version that gave it.
 *
 * @since 0.5
 */
public enum AnswerRating {
    /** It ended well and in time. */
    GOOD,
    /** It came clearly later than usual. */
    SLOW,
    /** It failed, or came several times later than usual. */
    BAD,
    /** It was broken off before it could say anything. */
    NOT_COUNTED;

    /**
     * Sorts an answer that counts.
     *
     * @param isBad true if it failed or came several times later than usual
     * @param isSlow true if it came clearly later than usual
     * @return what it says
     */
    public static AnswerRating of(boolean isBad, boolean isSlow) {
        if (isBad) {
            return BAD;
        }
        return isSlow ? SLOW : GOOD;
    }
}
