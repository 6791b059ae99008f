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
package io.trailladder.entry.port;

/**
 * The platform's answer to a call of {@link DutyApi}.
 *
 * @since 0.2
 */
public enum DutyResult {
    /** The call was accepted. */
    ACCEPTED,
    /** The call was declined: a higher token was seen, or nothing is available. */
    DECLINED,
    /** The call was refused and may be sent again. */
    REFUSED,
    /** No answer arrived; the call may have been accepted, or may still be. */
    UNANSWERED
}
