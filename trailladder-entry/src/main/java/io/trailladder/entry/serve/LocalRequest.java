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

/** A request this entry works on, or has the answer of, and where its copy is. */
final class LocalRequest {
    final GenerationRunner runner;

    /** The entry with the request's copy; empty if there is none. */
    volatile String copyHolder;

    /**
     * The lost or silent entry whose copy this request was taken up from; empty if that entry had
     * given the request up.
     */
    volatile String resumedFrom = "";

    /** The entry that handed it over; empty if none did. */
    volatile String handedOverBy = "";

    /** How many tokens the copy has. */
    int copiedTokens;

    /** True once the copy needs no more news. */
    volatile boolean copyFinished;

    LocalRequest(GenerationRunner runner, String keeper) {
        this.runner = runner;
        this.copyHolder = keeper;
    }

    String requestId() {
        return runner.request().requestId();
    }

    /** Tells whether the request is worked on here. */
    boolean isActive() {
        return !runner.isEnded() && !runner.isMovedAway();
    }
}
