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

import io.trailladder.core.engine.EngineEstimate;
import io.trailladder.core.pipeline.ServingRequest;

/**
 * An upstream considered for a request, with the inputs of its cost.
 *
 * @param upstream the upstream
 * @param request the request
 * @param engine the estimated speed of the upstreams of its service
 * @param running requests in flight there, of all processes
 * @param waitingTokens prompt tokens waiting there, of all processes
 * @param cachedTokens tokens of the prompt that it probably has cached
 * @param nowMillis the current time, in milliseconds
 * @since 0.3
 */
public record Candidate(
        Upstream upstream,
        ServingRequest request,
        EngineEstimate engine,
        int running,
        int waitingTokens,
        int cachedTokens,
        long nowMillis) {}
