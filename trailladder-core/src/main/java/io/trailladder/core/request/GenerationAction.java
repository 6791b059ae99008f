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
 * What a {@link GenerationMachine} wants done.
 *
 * @since 0.1
 */
public sealed interface GenerationAction {
    /**
     * Choose an upstream and answer with {@code placed} or {@code notPlaced}.
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
     * Send the request to an upstream.
     *
     * @param attempt number of the attempt, with which its frames must be labelled
     * @param upstream the upstream's name
     * @param resumeFrom how many tokens are already known and are to be resumed from
     * @param kvHandle where the upstream can import the KV cache; empty if it must recompute
     */
    record Dispatch(int attempt, String upstream, int resumeFrom, String kvHandle)
            implements GenerationAction {}

    /**
     * Ask an upstream to export the KV cache of an attempt, and answer with {@code exported}.
     *
     * @param attempt number of the attempt
     * @param upstream the upstream that runs it
     */
    record Export(int attempt, String upstream) implements GenerationAction {}

    /**
     * Cancel an attempt at its upstream.
     *
     * @param attempt number of the attempt
     */
    record Cancel(int attempt) implements GenerationAction {}

    /** Pass tokens that were added to the answer on to the caller. */
    record Emit() implements GenerationAction {}

    /** Tell the caller that the answer is whole. */
    record Complete() implements GenerationAction {}

    /**
     * Give the caller its final answer at once.
     *
     * @param failure the final answer
     */
    record Fail(Failure failure) implements GenerationAction {}

    /**
     * Call {@code tick} at a later time.
     *
     * @param atMillis the time
     */
    record WakeAt(long atMillis) implements GenerationAction {}
}
