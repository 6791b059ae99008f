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

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The slots by which streams are assigned to versions of upstreams. Plans are numbered; each one is
 * recorded in the store before a process assigns streams by it.
 *
 * @param number the number of the plan, greater than that of every earlier one
 * @param slots the slots of each version by service; no versions for a service whose streams are
 *     not assigned by hashing
 * @since 0.7
 */
public record VersionPlan(long number, Map<String, Map<String, Integer>> slots) {
    /** Maximum number of versions of a service to which streams are assigned. */
    public static final int MAX_VERSIONS = 100;

    /** The plan of a process that has received none. */
    public static final VersionPlan NONE = new VersionPlan(0, Map.of());

    /** Copies the slots. */
    public VersionPlan {
        Map<String, Map<String, Integer>> copies = new HashMap<>();
        slots.forEach((service, versions) -> copies.put(service, Map.copyOf(versions)));
        slots = Map.copyOf(copies);
    }

    /**
     * Returns the versions of a service.
     *
     * @param service the service
     * @return the versions; empty if the plan has none
     */
    public Set<String> versions(String service) {
        return slots.getOrDefault(service, Map.of()).keySet();
    }

    /**
     * Returns the version that a stream is assigned.
     *
     * @param service the service
     * @param attempt the id of the caller's attempt that begins the stream
     * @return the version; empty if the plan assigns none
     */
    public Optional<String> assigned(String service, String attempt) {
        return VersionWeights.assigned(attempt, slots.getOrDefault(service, Map.of()));
    }

    /**
     * Returns the version that a stream is assigned where some versions cannot be used.
     *
     * @param service the service
     * @param attempt the id of the caller's attempt that begins the stream
     * @param available the versions that can be used
     * @return one of {@code available}; empty if the plan assigns none of them
     */
    Optional<String> assigned(String service, String attempt, Collection<String> available) {
        Map<String, Integer> usable = new HashMap<>(slots.getOrDefault(service, Map.of()));
        usable.keySet().retainAll(available);
        return VersionWeights.assigned(attempt, usable);
    }

    /**
     * Returns the services whose slots differ from those of an earlier plan.
     *
     * @param earlier the earlier plan
     * @return the slots of each version by service; no versions for a service that is not planned
     *     any more
     */
    public Map<String, Map<String, Integer>> changesSince(VersionPlan earlier) {
        Map<String, Map<String, Integer>> changes = new HashMap<>(slots);
        changes.entrySet()
                .removeIf(each -> each.getValue().equals(earlier.slots.get(each.getKey())));
        for (String service : earlier.slots.keySet()) {
            if (!slots.containsKey(service)) {
                changes.put(service, Map.of());
            }
        }
        return changes;
    }

    /**
     * Returns the next plan.
     *
     * @param changes what {@link #changesSince} returned for it
     * @return the plan
     */
    public VersionPlan next(Map<String, Map<String, Integer>> changes) {
        Map<String, Map<String, Integer>> next = new HashMap<>(slots);
        next.putAll(changes);
        return new VersionPlan(number + 1, next);
    }
}
