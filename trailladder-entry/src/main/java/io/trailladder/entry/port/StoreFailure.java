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
 * The reason why a call to the coordination store failed.
 *
 * @since 0.2
 */
public enum StoreFailure {
    /** The store refused the call; nothing was done. */
    REFUSED,
    /** No answer arrived; the call may have been carried out, or may still be. */
    UNANSWERED,
    /**
     * The requested changes are no longer kept, or the answer is of another history than the
     * current one. Everything must be read again. A write may have been carried out.
     */
    HISTORY_LOST,
    /** A key did not have the expected revision; nothing was done. */
    CONFLICT,
    /** The lease has ended; nothing was done. */
    LEASE_GONE
}
