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
package io.trailladder.core.memory;

/**
 * What bytes are held for.
 *
 * @since 0.2
 */
public enum ReservationKind {
    /** Heads and bodies of callers' requests, from their first byte to the end of their answer. */
    REQUESTS,
    /** Answers, or parts of them, that are not yet whole enough to be passed on. */
    ANSWERS_PARSED,
    /** Answers that callers have not read yet. */
    ANSWERS_WAITING
}
