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

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The plans that this process knows, up to the one by which it assigns streams. */
final class KnownPlans {
    private final TreeMap<Long, VersionPlan> plans = new TreeMap<>();

    /** Returns the plan by which this process assigns streams. */
    VersionPlan current() {
        return plans.isEmpty() ? VersionPlan.NONE : plans.lastEntry().getValue();
    }

    /**
     * Adds a plan.
     *
     * @return whether it is newer than the current one
     */
    boolean add(VersionPlan plan) {
        boolean newer = plan.number() > current().number();
        plans.putIfAbsent(plan.number(), plan);
        return newer;
    }

    /** Adds plans that were recorded in the store. */
    void addAll(Collection<VersionPlan> recorded) {
        recorded.forEach(plan -> plans.putIfAbsent(plan.number(), plan));
    }

    /** Forgets plans that are older than one that may be in use. */
    void prune(long oldestNumber) {
        plans.headMap(Math.min(oldestNumber, current().number())).clear();
    }

    /** Returns the latest plans without a gap, from a number on if it is known. */
    List<VersionPlan> latest(long oldestNumber, int max) {
        Deque<VersionPlan> latest = new ArrayDeque<>();
        long number = current().number();
        while (number >= oldestNumber && plans.containsKey(number) && latest.size() < max) {
            latest.addFirst(plans.get(number));
            number--;
        }
        return List.copyOf(latest);
    }

    /** Returns the versions of a service in the plans that are known from a number on. */
    Set<String> versions(String service, long oldestNumber) {
        Set<String> versions = new HashSet<>();
        plans.tailMap(oldestNumber)
                .values()
                .forEach(plan -> versions.addAll(plan.versions(service)));
        return versions;
    }

    /** Returns whether all plans from a number on are known. */
    boolean isComplete(long oldestNumber) {
        return plans.tailMap(oldestNumber).size() == current().number() - oldestNumber + 1;
    }

    /** Returns the only version that some consecutive plans assign to a stream, if any. */
    Optional<String> assigned(StreamCall call, long oldestNumber, long newestNumber) {
        if (!isComplete(oldestNumber)) {
            return Optional.empty();
        }
        Set<Optional<String>> assigned = new HashSet<>();
        for (VersionPlan plan : plans.subMap(oldestNumber, true, newestNumber, true).values()) {
            assigned.add(plan.assigned(call.service(), call.attempt()));
        }
        return assigned.size() == 1 ? assigned.iterator().next() : Optional.empty();
    }
}
