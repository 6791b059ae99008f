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
package io.trailladder.entry.gateway;

/** What a process knew of the other processes when it admitted units of a limit. */
enum LimitBasis {
    /** It received digests of others. */
    SHARED("shared"),
    /** It received none, and used its own part. */
    ALONE("alone"),
    /** It had started again and did not know yet which other processes there are. */
    OTHERS_UNKNOWN("othersUnknown");

    private final String field;

    LimitBasis(String field) {
        this.field = field;
    }

    /** Returns the name of the field in log lines, and of the label in metrics. */
    String field() {
        return field;
    }
}
