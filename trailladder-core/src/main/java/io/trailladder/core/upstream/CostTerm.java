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
package io.trailladder.core.upstream;

/**
 * One term of the cost of sending a request to an upstream. The upstream with the lowest sum of all
 * terms is chosen.
 *
 * <pre>{@code
 * CostTerm distance = CostTerm.of("distance", candidate -> isFar(candidate.upstream()) ? 4 : 0);
 * }</pre>
 *
 * @since 0.3
 */
public interface CostTerm {
    /**
     * Returns the name of the term in logged decisions.
     *
     * @return one short word
     */
    String name();

    /**
     * Returns the cost of the term for an upstream.
     *
     * @param candidate the upstream and the request
     * @return milliseconds until the first answer, or an equivalent cost
     */
    double millis(Candidate candidate);

    /** Computes the cost of a term. */
    @FunctionalInterface
    interface Cost {
        /**
         * Returns the cost of a term for an upstream.
         *
         * @param candidate the upstream and the request
         * @return milliseconds
         */
        double millis(Candidate candidate);
    }

    /**
     * Creates a term.
     *
     * @param name its name in the log
     * @param cost computes its cost
     * @return the term
     */
    static CostTerm of(String name, Cost cost) {
        return new NamedCostTerm(name, cost);
    }
}
