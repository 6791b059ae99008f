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
package io.trailladder.core.upstream;

/**
 * What the head of an answer says of the upstream itself, beside the answer.
 *
 * @param leaving true if the upstream says that it leaves
 * @param backoffMillis how long it wants no request of this process, in milliseconds; 0 if it does not
 *     say so
 * @param limit how many requests it takes from all processes together
 * @param fault what could not be read, with the form that was expected; empty if all could
 * @since 0.5
 */
public record AnswerNotice(boolean leaving, long backoffMillis, LimitNotice limit, String fault) {
    /** Says nothing. */
    public static final AnswerNotice NONE = new AnswerNotice(false, 0, LimitNotice.ABSENT, "");

    /**
     * Tells whether there is nothing to take over and nothing to complain about.
     *
     * @return true for {@link #NONE} and its like
     */
    public boolean isNone() {
        return !leaving
                && backoffMillis == 0
                && limit.kind() == LimitNotice.Kind.ABSENT
                && fault.isEmpty();
    }
}
