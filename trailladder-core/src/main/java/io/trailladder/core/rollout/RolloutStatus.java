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
 * What the store records of a service's roll-out.
 *
 * @param service the service
 * @param version the version that the recorded order names
 * @param state how far it has come, as operators read it
 * @param revision the store's revision of the record; 0 if there is none
 * @since 0.4
 */
public record RolloutStatus(String service, String version, State state, long revision) {
    /** What operators read. */
    public enum State {
        /** There is no record. */
        NONE,
        /** Both versions serve. */
        IN_PROGRESS,
        /** All traffic has moved. */
        COMPLETED,
        /** All traffic has moved back. */
        ROLLED_BACK
    }

    /**
     * Returns the status of a service without a record.
     *
     * @param service the service
     * @return a status of revision 0
     */
    public static RolloutStatus none(String service) {
        return new RolloutStatus(service, "", State.NONE, 0);
    }

    /**
     * Tells whether the record is about an order: it was written after it and names its version.
     *
     * @param order the order
     * @return false if it is about an earlier one
     */
    public boolean isAbout(RolloutOrder order) {
        return revision > order.revision() && version.equals(order.version());
    }

    /**
     * Tells whether another record says the same.
     *
     * @param other the other record
     * @return true if they differ in their revision at most
     */
    public boolean equalsIgnoringRevision(RolloutStatus other) {
        return service.equals(other.service)
                && version.equals(other.version)
                && state == other.state;
    }

    /**
     * Returns the same record under another revision.
     *
     * @param next the revision
     * @return a copy
     */
    public RolloutStatus withRevision(long next) {
        return new RolloutStatus(service, version, state, next);
    }
}
