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
package io.trailladder.core.pipeline;

import io.trailladder.core.policy.Route;

/**
 * An accepted request as routing and recovery decisions use it. Its body and headers are not part
 * of it.
 *
 * @param id the caller's id of the request
 * @param organisation the organisation of the caller; empty on an anonymous route
 * @param route the route that it was accepted by
 * @param service the service that runs it
 * @param priority its priority; 0 is the most urgent
 * @param prompt the size of its prompt
 * @param bodyBytes length of its body
 * @param acceptedMillis when it was accepted, on the monotonic clock
 * @param deadlineMillis when its caller stops waiting, on the monotonic clock
 * @param policyVersion version of the policy that it was accepted by
 * @since 0.2
 */
public record ServingRequest(
        String id,
        String organisation,
        Route route,
        String service,
        int priority,
        Prompt prompt,
        int bodyBytes,
        long acceptedMillis,
        long deadlineMillis,
        long policyVersion) {}
