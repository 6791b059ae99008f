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
package io.trailladder.core.rollout;

import java.util.List;

/**
 * What one process reports to another about a roll-out.
 *
 * @param order the order
 * @param phase the phase that the sender knows
 * @param remainingMillis time left until the order's deadline, in milliseconds; negative after it
 * @param round increases as long as the leader's updates arrive; an unchanged round means that the
 *     leader is not reachable
 * @param evidence what the sender, and the processes it represents, have observed; empty if the
 *     receiver represents no other process
 * @since 0.4
 */
public record RolloutUpdate(
        RolloutOrder order,
        RolloutPhase phase,
        long remainingMillis,
        long round,
        List<RouteEvidence> evidence) {
    /** Copies the evidence into an unmodifiable list. */
    public RolloutUpdate {
        evidence = List.copyOf(evidence);
    }
}
