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
 * What one process tells another of a roll-out.
 *
 * @param order the order it is about
 * @param phase how far it has come, as the sender knows
 * @param remainingMillis time left until the order's deadline, in milliseconds; below 0 after it
 * @param round grows while the leader is heard; a round that stands still says that the leader is
 *     not heard any more
 * @param evidence what the sender, and those it speaks for, have seen; empty if it is told to a
 *     process that speaks for nobody
 * @since 0.4
 */
public record RolloutUpdate(
        RolloutOrder order,
        RolloutPhase phase,
        long remainingMillis,
        long round,
        List<RouteEvidence> evidence) {
    /** Copies the evidence. */
    public RolloutUpdate {
        evidence = List.copyOf(evidence);
    }
}
