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

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.routing.LoadReport;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The port to model engines. A new kind of engine needs one adapter.
 *
 * @since 0.1
 */
public interface EngineApi {
    /**
     * One attempt as an engine is told of it.
     *
     * @param requestId the request's name
     * @param attempt the attempt's number
     * @param organisation the organisation, which separates prefix caches
     * @param model the model
     * @param prompt the prompt
     * @param maxTokens most tokens of the whole answer
     * @param resume the tokens of the answer that are already known
     * @param kvHandle where the KV cache can be imported from; empty for nowhere
     * @param priority higher goes first
     */
    record Attempt(
            String requestId,
            int attempt,
            String organisation,
            String model,
            String prompt,
            int maxTokens,
            List<String> resume,
            String kvHandle,
            int priority) {}

    /** Is told of an attempt's answer. */
    interface Listener {
        /**
         * A token came.
         *
         * @param requestId the request the engine says it belongs to
         * @param attempt the attempt the engine says it belongs to
         * @param position its position in the whole answer
         * @param text the token
         */
        void token(String requestId, int attempt, int position, String text);

        /**
         * The engine says that the answer is whole.
         *
         * @param requestId the request the engine says it belongs to
         * @param attempt the attempt the engine says it belongs to
         * @param tokens how many tokens it has
         */
        void ended(String requestId, int attempt, int tokens);

        /**
         * The attempt failed.
         *
         * @param sent true if the engine may have seen it
         * @param garbage true if the answer was not well-formed
         */
        void failed(boolean sent, boolean garbage);
    }

    /** A running attempt. */
    interface RunningAttempt {
        /** Tells the engine to stop. */
        void cancel();
    }

    /**
     * Begins an attempt.
     *
     * @param engine the engine
     * @param attempt the attempt
     * @param listener told of the answer
     * @return the running attempt
     */
    RunningAttempt generate(LocalUpstream engine, Attempt attempt, Listener listener);

    /**
     * Exports the KV cache of an attempt.
     *
     * @param engine the engine that runs it
     * @param requestId the request's name
     * @param attempt the attempt's number
     * @param timeoutMillis how long to wait, in milliseconds
     * @return where it can be imported from
     */
    CompletableFuture<String> export(
            LocalUpstream engine, String requestId, int attempt, long timeoutMillis);

    /**
     * Asks an engine for its load.
     *
     * @param engine the engine
     * @return its report
     */
    CompletableFuture<LoadReport> load(LocalUpstream engine);
}
