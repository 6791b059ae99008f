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

/**
 * An operator's order to move a service's traffic to a version.
 *
 * @param service the service
 * @param version the version it is to move to
 * @param durationMillis how long the move may take, in milliseconds
 * @param revision the store's revision of the order, which names it: a later order has a higher one
 * @since 0.4
 */
public record RolloutOrder(String service, String version, long durationMillis, long revision) {
    /**
     * Tells whether another order says the same. After the store came back from a copy an order
     * that is written again has another revision.
     *
     * @param other the other order
     * @return true if they differ in their revision at most
     */
    public boolean equalsIgnoringRevision(RolloutOrder other) {
        return service.equals(other.service)
                && version.equals(other.version)
                && durationMillis == other.durationMillis;
    }

    /**
     * Returns the same order under another revision.
     *
     * @param next the revision
     * @return a copy
     */
    public RolloutOrder withRevision(long next) {
        return new RolloutOrder(service, version, durationMillis, next);
    }
}
