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
 * A request that was accepted, as decisions see it. Its body and headers are opaque to them.
 *
 * @param id the caller's name for this request
 * @param organisation whose it is; empty on an anonymous route
 * @param route the rule it was accepted by
 * @param service the service that runs it
 * @param priority its rank; 0 is the most urgent
 * @param prompt what is known of its size
 * @param bodyBytes length of its body
 * @param acceptedMillis when it was accepted, on the monotonic clock
 * @param deadlineMillis when its caller stops waiting, on the monotonic clock
 * @param policyVersion version of the policy it was accepted by
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
