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

import io.trailladder.core.rollout.VersionGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes the next plan of the versions to which streams are assigned, from the listed upstreams. */
final class VersionPlanner {
    /**
     * Minimum time between two plans with the same versions, in milliseconds: each plan moves some
     * streams to other versions.
     */
    private static final long MIN_INTERVAL_MILLIS = 2_000;

    private final UpstreamDirectory directory;
    private final VersionGate versions;
    private long plannedMillis = Long.MIN_VALUE / 2;

    VersionPlanner(UpstreamDirectory directory, VersionGate versions) {
        this.directory = directory;
        this.versions = versions;
    }

    /** Records that a plan was recorded. */
    void planned(long nowMillis) {
        plannedMillis = nowMillis;
    }

    /**
     * Returns the next plan.
     *
     * @return {@code current} if it need not change
     */
    VersionPlan next(VersionPlan current, long nowMillis) {
        Map<String, Map<String, Integer>> changes = new HashMap<>();
        boolean otherVersions = false;
        for (String service : directory.services()) {
            List<Upstream> listed = directory.serving(service);
            Map<String, Integer> slots = slots(service, listed, nowMillis);
            boolean planned = current.slots().containsKey(service);
            if (!listed.isEmpty() && !(planned && slots.equals(current.slots().get(service)))) {
                changes.put(service, slots);
                otherVersions |= !planned || !slots.keySet().equals(current.versions(service));
            }
        }
        boolean due = nowMillis - plannedMillis >= MIN_INTERVAL_MILLIS;
        boolean needed = otherVersions || (due && !changes.isEmpty());
        return needed ? current.next(changes) : current;
    }

    private Map<String, Integer> slots(String service, List<Upstream> listed, long nowMillis) {
        if (isChosenByRollout(service, nowMillis)) {
            return Map.of();
        }
        Map<String, Integer> slots =
                VersionWeights.slots(versions.admitted(service, listed, false, nowMillis));
        if (slots.size() > VersionPlan.MAX_VERSIONS) {
            return Map.of();
        }
        // the number of slots does not matter for a single version
        return slots.size() == 1 ? Map.of(slots.keySet().iterator().next(), 1) : slots;
    }

    /** Returns whether a roll-out chooses the version of each stream, so that none is assigned. */
    boolean isChosenByRollout(String service, long nowMillis) {
        return versions.rollout(service)
                .filter(rollout -> !rollout.phase().isFinal() || rollout.waitMillis(nowMillis) > 0)
                .isPresent();
    }
}
