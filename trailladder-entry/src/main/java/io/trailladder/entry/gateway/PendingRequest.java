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
package io.trailladder.entry.gateway;

import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.port.CallerRequest;

/**
 * A request that the policy allows and that the limit of its organisation has not admitted yet.
 *
 * @param exchange the exchange with the caller
 * @param caller the request as it was received
 * @param request the request as it is served
 * @param identity what tells it from others that make upstreams end
 * @param units its size in the units of the limit
 */
record PendingRequest(
        ServerExchange exchange,
        CallerRequest caller,
        ServingRequest request,
        RequestIdentity identity,
        int units) {}
