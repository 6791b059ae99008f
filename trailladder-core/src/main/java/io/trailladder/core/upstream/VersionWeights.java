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
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The slots of each version of a service now and of late, and the version that rendezvous hashing
 * assigns to an id. Of all ids, a version is assigned the part that it has of the slots; if the
 * slots change, ids move only from or to the versions that lost or gained some.
 */
final class VersionWeights {
    private static final double HASH_RANGE = 1L << 53;
    private static final long HASH_START = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;

    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * The slots by version from a time on.
     *
     * @param listed slots of all upstreams that do not leave
     * @param admitted slots of those that new requests may go to
     */
    private record Sample(
            long fromMillis, Map<String, Integer> listed, Map<String, Integer> admitted) {}

    /** Records the current upstreams. */
    void record(List<Upstream> listed, List<Upstream> admitted, long nowMillis) {
        Sample sample = new Sample(nowMillis, slots(listed), slots(admitted));
        Sample last = samples.peekLast();
        if (last == null
                || !last.listed().equals(sample.listed())
                || !last.admitted().equals(sample.admitted())) {
            samples.addLast(sample);
        }
        // keeps the sample that was in force when the history begins
        long oldestMillis = nowMillis - StreamVersions.MAX_AGE_MILLIS;
        while (samples.size() > 1 && second().fromMillis() < oldestMillis) {
            samples.removeFirst();
        }
    }

    /** Returns whether all upstreams are of the only version that the last sample has. */
    boolean hasOnlyVersionOf(List<Upstream> listed) {
        Sample last = samples.peekLast();
        if (last == null || last.listed().size() != 1 || samples.size() > 1) {
            return false;
        }
        return listed.stream().allMatch(upstream -> last.listed().containsKey(upstream.version()));
    }

    private Sample second() {
        var oldestFirst = samples.iterator();
        oldestFirst.next();
        return oldestFirst.next();
    }

    private static Map<String, Integer> slots(List<Upstream> upstreams) {
        Map<String, Integer> slots = new HashMap<>();
        for (Upstream upstream : upstreams) {
            slots.merge(upstream.version(), Math.max(1, upstream.slots()), Integer::sum);
        }
        return slots;
    }

    /** Returns the version that an id is assigned now; empty if only one is listed. */
    Optional<String> assigned(String id) {
        Sample last = samples.getLast();
        if (last.listed().size() <= 1) {
            return Optional.empty();
        }
        Map<String, Integer> now = last.admitted();
        return winner(id, now.keySet(), now::get, now::get);
    }

    /** Returns whether there has been at most one version since a time. */
    boolean isOneVersion(long sinceMillis) {
        return versionsSince(sinceMillis).size() <= 1;
    }

    /**
     * Returns the version that an id was assigned since a time; empty if it is not the same for all
     * slots that versions had since then.
     */
    Optional<String> assignedSince(String id, long sinceMillis) {
        Map<String, Integer> least = new HashMap<>();
        Map<String, Integer> most = new HashMap<>();
        Set<String> all = versionsSince(sinceMillis);
        for (Sample sample : since(sinceMillis)) {
            for (String version : all) {
                least.merge(version, sample.admitted().getOrDefault(version, 0), Math::min);
                most.merge(version, sample.listed().getOrDefault(version, 0), Math::max);
            }
        }
        return winner(id, all, least::get, most::get);
    }

    private Set<String> versionsSince(long sinceMillis) {
        Set<String> all = new HashSet<>();
        since(sinceMillis).forEach(sample -> all.addAll(sample.listed().keySet()));
        return all;
    }

    /** Returns the samples that were in force at a time or later. */
    private List<Sample> since(long sinceMillis) {
        Deque<Sample> inForce = new ArrayDeque<>();
        for (var newestFirst = samples.descendingIterator(); newestFirst.hasNext(); ) {
            Sample sample = newestFirst.next();
            inForce.addFirst(sample);
            if (sample.fromMillis() <= sinceMillis) {
                break;
            }
        }
        return List.copyOf(inForce);
    }

    /** Returns the version that wins with its own slots against the slots of all others. */
    private static Optional<String> winner(
            String id,
            Set<String> versions,
            ToIntFunction<String> ownSlots,
            ToIntFunction<String> othersSlots) {
        for (String version : versions) {
            double own = delay(id, version, ownSlots.applyAsInt(version));
            boolean first =
                    versions.stream()
                            .filter(other -> !other.equals(version))
                            .allMatch(
                                    other -> own < delay(id, other, othersSlots.applyAsInt(other)));
            if (first) {
                return Optional.of(version);
            }
        }
        return Optional.empty();
    }

    /** Returns an exponential variate whose rate is the number of slots; the smallest wins. */
    private static double delay(String id, String version, int slots) {
        return slots == 0 ? Double.POSITIVE_INFINITY : -Math.log(uniform(id, version)) / slots;
    }

    /** Returns a number between 0, exclusive, and 1 that is the same in every process. */
    private static double uniform(String id, String version) {
        return ((hash(id + '\n' + version) >>> 11) + 0.5) / HASH_RANGE;
    }

    /** Returns a hash that is the same in every process. */
    static long hash(String text) {
        long hash = HASH_START;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * HASH_PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * MIX_FIRST;
        hash = (hash ^ (hash >>> 33)) * MIX_SECOND;
        return hash ^ (hash >>> 33);
    }
}
