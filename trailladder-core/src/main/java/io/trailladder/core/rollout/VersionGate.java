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

import io.trailladder.core.upstream.Upstream;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which upstreams of a service a request may go to, by their versions.
 *
 * <p>Without a roll-out every version serves. A version that appears beside others before an order
 * names it is left alone for {@link #UNORDERED_VERSION_DELAY_MILLIS}, because the order may be on its way; after that
 * it is taken for an ordinary replacement.
 *
 * @since 0.4
 */
public final class VersionGate {
    /**
     * How long a version that no order names waits, in milliseconds: orders are written before
     * their upstreams start, and reach every process that hears a hub within a second.
     */
    static final long UNORDERED_VERSION_DELAY_MILLIS = 2_500;

    private final Map<String, Rollout> rollouts = new HashMap<>();
    private final Map<String, Map<String, Long>> servesFromMillis = new HashMap<>();

    /**
     * Has a roll-out decide about its service. It replaces an earlier one.
     *
     * @param rollout the roll-out
     */
    public void begin(Rollout rollout) {
        rollouts.put(rollout.order().service(), rollout);
    }

    /**
     * Forgets the roll-out of a service.
     *
     * @param service the service
     */
    public void end(String service) {
        rollouts.remove(service);
    }

    /**
     * Returns the roll-out of a service.
     *
     * @param service the service
     * @return the latest one, ended or not
     */
    public Optional<Rollout> rollout(String service) {
        return Optional.ofNullable(rollouts.get(service));
    }

    /**
     * Returns all roll-outs.
     *
     * @return one a service, ended ones too
     */
    public Collection<Rollout> rollouts() {
        return rollouts.values();
    }

    /**
     * Returns the upstreams that a request may go to.
     *
     * @param service the service
     * @param serving its upstreams that take new work
     * @param first false for a request that an upstream has failed before
     * @param nowMillis the time
     * @return some of them
     */
    public List<Upstream> admitted(
            String service, List<Upstream> serving, boolean first, long nowMillis) {
        Rollout rollout = rollouts.get(service);
        if (rollout != null) {
            return rollout.admitted(serving, first, nowMillis);
        }
        if (isOneVersion(serving)) {
            recordVersions(service, serving, nowMillis);
            return serving;
        }
        Map<String, Long> seen = recordVersions(service, serving, nowMillis);
        List<Upstream> known =
                serving.stream()
                        .filter(upstream -> nowMillis >= seen.get(upstream.version()))
                        .toList();
        return known.isEmpty() ? serving : known;
    }

    /** Notes from when each version serves: those of the first list at once, others later. */
    private Map<String, Long> recordVersions(String service, List<Upstream> serving, long nowMillis) {
        Map<String, Long> seen = servesFromMillis.get(service);
        long from = seen == null ? nowMillis : nowMillis + UNORDERED_VERSION_DELAY_MILLIS;
        if (seen == null) {
            if (serving.isEmpty()) {
                return Map.of();
            }
            seen = new HashMap<>();
            servesFromMillis.put(service, seen);
        }
        for (Upstream upstream : serving) {
            seen.putIfAbsent(upstream.version(), from);
        }
        return seen;
    }

    private static boolean isOneVersion(List<Upstream> serving) {
        for (Upstream upstream : serving) {
            if (!upstream.version().equals(serving.get(0).version())) {
                return false;
            }
        }
        return true;
    }
}
