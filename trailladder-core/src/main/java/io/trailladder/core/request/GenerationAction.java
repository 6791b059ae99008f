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
package io.trailladder.core.request;

import java.util.Set;

/**
 * An action that a {@link GenerationMachine} returns for its caller to carry out.
 *
 * @since 0.1
 */
public sealed interface GenerationAction {
    /**
     * Chooses an upstream and reports the result with {@code placed} or {@code notPlaced}.
     *
     * @param excluded upstreams that must not be chosen
     */
    record Place(Set<String> excluded) implements GenerationAction {
        /** Copies the exclusions. */
        public Place {
            excluded = Set.copyOf(excluded);
        }
    }

    /**
     * Sends the request to an upstream.
     *
     * @param attempt number of the attempt, with which its frames must be tagged
     * @param upstream the upstream's name
     * @param resumeFrom number of tokens that are already known, after which the answer is resumed
     * @param kvHandle handle from which the upstream can import the KV cache; empty if it must
     *     recompute it
     */
    record Dispatch(int attempt, String upstream, int resumeFrom, String kvHandle)
            implements GenerationAction {}

    /**
     * Requests an upstream to export the KV cache of an attempt, and reports the result with {@code
     * exported}.
     *
     * @param attempt number of the attempt
     * @param upstream the upstream that runs it
     */
    record Export(int attempt, String upstream) implements GenerationAction {}

    /**
     * Cancels an attempt at its upstream.
     *
     * @param attempt number of the attempt
     */
    record Cancel(int attempt) implements GenerationAction {}

    /** Forwards the tokens that were appended to the answer to the caller. */
    record Emit() implements GenerationAction {}

    /** Completes the answer to the caller. */
    record Complete() implements GenerationAction {}

    /**
     * Sends the final answer to the caller at once.
     *
     * @param failure the final answer
     */
    record Fail(Failure failure) implements GenerationAction {}

    /**
     * Calls {@code tick} at a later time.
     *
     * @param atMillis the time, in milliseconds
     */
    record WakeAt(long atMillis) implements GenerationAction {}
}
