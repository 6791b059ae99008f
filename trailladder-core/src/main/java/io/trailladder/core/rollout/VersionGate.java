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
 * Selects the upstreams of a service that a request may go to, by their versions.
 *
 * <p>Without a roll-out every version serves. A version that appears beside others before an order
 * names it gets no requests for {@link #UNORDERED_VERSION_DELAY_MILLIS}, because the order may not
 * have arrived yet; after that it is treated as an ordinary replacement.
 *
 * @since 0.4
 */
public final class VersionGate {
    /**
     * Time for which a version that no order names gets no requests, in milliseconds. Orders are
     * written before their upstreams start, and reach every process that receives a hub's digests
     * within a second.
     */
    public static final long UNORDERED_VERSION_DELAY_MILLIS = 2_500;

    private final Map<String, Rollout> rollouts = new HashMap<>();
    private final Map<String, Map<String, Long>> servesFromMillis = new HashMap<>();

    /**
     * Starts a roll-out, which replaces an earlier one of the same service.
     *
     * @param rollout the roll-out
     */
    public void begin(Rollout rollout) {
        rollouts.put(rollout.order().service(), rollout);
    }

    /**
     * Removes the roll-out of a service.
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
     * @return the latest roll-out, ended or not; empty if there is none
     */
    public Optional<Rollout> rollout(String service) {
        return Optional.ofNullable(rollouts.get(service));
    }

    /**
     * Returns all roll-outs.
     *
     * @return one per service, including those that ended
     */
    public Collection<Rollout> rollouts() {
        return rollouts.values();
    }

    /**
     * Returns the upstreams that a request may go to.
     *
     * @param service the service
     * @param serving its upstreams that accept new requests
     * @param first false for a request that has already failed at an upstream
     * @param nowMillis the current time, in milliseconds
     * @return some of the upstreams
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
        Map<String, Long> servesFrom = recordVersions(service, serving, nowMillis);
        List<Upstream> admitted =
                serving.stream()
                        .filter(upstream -> nowMillis >= servesFrom.get(upstream.version()))
                        .toList();
        return admitted.isEmpty() ? serving : admitted;
    }

    /**
     * Records from when each version serves: versions of the first list at once, later ones after a
     * delay.
     */
    private Map<String, Long> recordVersions(
            String service, List<Upstream> serving, long nowMillis) {
        Map<String, Long> servesFrom = servesFromMillis.get(service);
        long from = servesFrom == null ? nowMillis : nowMillis + UNORDERED_VERSION_DELAY_MILLIS;
        if (servesFrom == null) {
            if (serving.isEmpty()) {
                return Map.of();
            }
            servesFrom = new HashMap<>();
            servesFromMillis.put(service, servesFrom);
        }
        for (Upstream upstream : serving) {
            servesFrom.putIfAbsent(upstream.version(), from);
        }
        return servesFrom;
    }

    /**
     * Records when versions were first listed before this process started, so that it admits them
     * at the same time as processes that have run for longer.
     *
     * @param service the service
     * @param firstListedMillis when each version was first listed, in milliseconds
     * @param startedMillis when this process started, in milliseconds: no process that ran before
     *     listed the other versions
     */
    public void listedBefore(
            String service, Map<String, Long> firstListedMillis, long startedMillis) {
        Map<String, Long> servesFrom =
                servesFromMillis.computeIfAbsent(service, name -> new HashMap<>());
        servesFrom.replaceAll(
                (version, from) -> Math.max(from, startedMillis + UNORDERED_VERSION_DELAY_MILLIS));
        firstListedMillis.forEach(
                (version, millis) ->
                        servesFrom.put(version, millis + UNORDERED_VERSION_DELAY_MILLIS));
    }

    /**
     * Admits versions that another process has found to serve already.
     *
     * @param service the service
     * @param versions the versions
     * @param nowMillis the current time, in milliseconds
     */
    public void admit(String service, Collection<String> versions, long nowMillis) {
        Map<String, Long> servesFrom =
                servesFromMillis.computeIfAbsent(service, name -> new HashMap<>());
        versions.forEach(version -> servesFrom.merge(version, nowMillis, Math::min));
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
