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
package io.trailladder.entry.serve;

/** A request that this entry works on or has the answer of, and where its copy is. */
final class LocalRequest {
    final GenerationRunner runner;

    /** The entry with the request's copy; empty if there is none. */
    volatile String copyHolder;

    /**
     * The entry, lost or not responding, whose copy this request was resumed from, until it answers
     * whether it still works on it; empty if that entry had given the request up.
     */
    volatile String resumedFrom = "";

    /** The entry that handed the request over; empty if none did. */
    volatile String handedOverBy = "";

    /** Number of tokens that the copy has. */
    int copiedTokens;

    /** Whether the copy needs no more updates. */
    volatile boolean copyFinished;

    LocalRequest(GenerationRunner runner, String copyHolder) {
        this.runner = runner;
        this.copyHolder = copyHolder;
    }

    String requestId() {
        return runner.request().requestId();
    }

    /** Returns whether this entry works on the request. */
    boolean isActive() {
        return !runner.isEnded() && !runner.isMovedAway();
    }
}
