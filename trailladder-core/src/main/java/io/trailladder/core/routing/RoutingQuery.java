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

import java.util.Set;

/**
 * A request to the router for an upstream.
 *
 * @param target the model or service
 * @param blocks the prompt's blocks; null for a plain service
 * @param maxTokens maximum number of tokens of the answer
 * @param excluded names of upstreams that already failed this request
 * @since 0.1
 */
public record RoutingQuery(
        String target, PromptBlocks blocks, int maxTokens, Set<String> excluded) {
    /** Copies the exclusions. */
    public RoutingQuery {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns the estimated length of the prompt.
     *
     * @return the number of tokens; 0 for a plain service
     */
    public int promptTokens() {
        return blocks == null ? 0 : blocks.tokens();
    }
}
