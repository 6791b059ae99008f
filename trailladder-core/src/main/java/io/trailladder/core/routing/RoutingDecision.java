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
package io.trailladder.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * The choice of the router with the inputs that it is based on, so that it can be inspected and
 * replayed.
 *
 * @param chosen the upstream's name; empty if none can take the request now
 * @param predictedMillis predicted time to the first token, in milliseconds
 * @param candidates every upstream that was evaluated
 * @since 0.1
 */
public record RoutingDecision(
        Optional<String> chosen, double predictedMillis, List<Candidate> candidates) {
    /**
     * An evaluated upstream.
     *
     * @param upstream the upstream's name
     * @param queueMillis predicted wait before its prompt is computed, in milliseconds
     * @param prefillMillis predicted time to compute the uncached prompt, in milliseconds
     * @param cachedTokens prompt tokens that the upstream probably has cached
     * @param reason why the candidate was or was not chosen
     */
    public record Candidate(
            String upstream,
            double queueMillis,
            double prefillMillis,
            int cachedTokens,
            Reason reason) {
        /**
         * Returns the predicted time to the first token.
         *
         * @return milliseconds
         */
        public double totalMillis() {
            return queueMillis + prefillMillis;
        }
    }

    /** Why a candidate was or was not chosen. */
    public enum Reason {
        /** It has the lowest predicted time to the first token. */
        CHOSEN,
        /** Another candidate is predicted to answer earlier. */
        SLOWER,
        /** It is leaving. */
        LEAVING,
        /** It already failed this request, or any request recently. */
        EXCLUDED,
        /** It has no free slot and its queue is full. */
        FULL
    }

    /** Copies the candidates. */
    public RoutingDecision {
        candidates = List.copyOf(candidates);
    }
}
