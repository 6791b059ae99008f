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
 * What the head of an answer reports about the upstream itself, in addition to the answer.
 *
 * @param leaving true if the upstream announces that it leaves
 * @param backoffMillis duration of the back-off that it requests from this process, in
 *     milliseconds; 0 if none
 * @param limit how many requests it accepts from all processes together
 * @param brittle the number of refusals in a second at which it ends; 0 if it announces none
 * @param fault what could not be parsed, with the expected form; empty if everything could
 * @since 0.5
 */
public record AnswerNotice(
        boolean leaving, long backoffMillis, LimitNotice limit, double brittle, String fault) {
    /** Reports nothing. */
    public static final AnswerNotice NONE = new AnswerNotice(false, 0, LimitNotice.ABSENT, 0, "");

    /**
     * Returns whether there is nothing to apply and no fault to report.
     *
     * @return true for {@link #NONE} and any notice equal to it
     */
    public boolean isNone() {
        return !leaving
                && backoffMillis == 0
                && limit.kind() == LimitNotice.Kind.ABSENT
                && brittle == 0
                && fault.isEmpty();
    }
}
