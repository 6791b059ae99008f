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
 * Interface to model engines. Each kind of engine has its own adapter.
 *
 * @since 0.1
 */
public interface EngineApi {
    /**
     * One attempt as it is sent to an engine.
     *
     * @param requestId the request's name
     * @param attempt the attempt's number
     * @param organisation the organisation; prefix caches are separate for each
     * @param model the model
     * @param prompt the prompt
     * @param maxTokens maximum number of tokens in the complete answer
     * @param resume the tokens of the answer that are already known, after which the engine
     *     continues
     * @param kvHandle handle to import the KV cache from; empty if the engine must recompute it
     * @param priority requests with a higher value come first
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

    /** Receives the answer of an attempt. */
    interface Listener {
        /**
         * Called for each token.
         *
         * @param requestId the request that the engine reports
         * @param attempt the attempt that the engine reports
         * @param position position of the token in the complete answer, from 0
         * @param text the token
         */
        void token(String requestId, int attempt, int position, String text);

        /**
         * Called when the engine reports the end of the answer.
         *
         * @param requestId the request that the engine reports
         * @param attempt the attempt that the engine reports
         * @param tokens number of tokens in the complete answer
         */
        void ended(String requestId, int attempt, int tokens);

        /**
         * Called when the attempt has failed.
         *
         * @param sent true if the engine may have received the attempt
         * @param malformed true if the answer was malformed
         */
        void failed(boolean sent, boolean malformed);
    }

    /** A running attempt. */
    interface RunningAttempt {
        /** Cancels the attempt at the engine. */
        void cancel();
    }

    /**
     * Starts an attempt.
     *
     * @param engine the engine
     * @param attempt the attempt
     * @param listener receives the answer
     * @return the running attempt
     */
    RunningAttempt generate(LocalUpstream engine, Attempt attempt, Listener listener);

    /**
     * Exports the KV cache of an attempt.
     *
     * @param engine the engine that runs it
     * @param requestId the request's name
     * @param attempt the attempt's number
     * @param timeoutMillis maximum time to wait, in milliseconds
     * @return the handle from which another engine can import it
     */
    CompletableFuture<String> export(
            LocalUpstream engine, String requestId, int attempt, long timeoutMillis);

    /**
     * Requests the load of an engine.
     *
     * @param engine the engine
     * @return the engine's report
     */
    CompletableFuture<LoadReport> load(LocalUpstream engine);
}
