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
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

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

    /** What was recorded before the first sample; when it was in force is not known. */
    private Optional<Sample> recorded = Optional.empty();

    /** Slots by version of upstreams that were leaving when they were first listed. */
    private final Map<String, Integer> leaving = new HashMap<>();

    /**
     * The slots by version from a time on.
     *
     * @param listed slots of all upstreams that do not leave
     * @param admitted slots of those that ids are assigned to; none during a roll-out
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

    /** Records what was known before the first sample, of which streams may go on. */
    void recordedBefore(List<VersionRange> ranges) {
        Map<String, Integer> most = new HashMap<>();
        Map<String, Integer> least = new HashMap<>();
        for (VersionRange range : ranges) {
            most.put(range.version(), range.mostSlots());
            least.put(range.version(), range.leastSlots());
        }
        recorded = Optional.of(new Sample(0, most, least));
    }

    /** Records upstreams that leave, at which streams may have begun before the first sample. */
    void leavingBefore(List<Upstream> upstreams) {
        slots(upstreams).forEach((version, slots) -> leaving.merge(version, slots, Math::max));
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
        List<VersionRange> now = new ArrayList<>();
        last.admitted()
                .forEach((version, slots) -> now.add(new VersionRange(version, slots, slots)));
        return assigned(id, now);
    }

    /** Returns the slots that each version had since a time. */
    List<VersionRange> ranges(long sinceMillis) {
        List<Sample> inForce = since(sinceMillis);
        Map<String, Integer> most = new TreeMap<>();
        for (Sample sample : inForce) {
            sample.listed().forEach((version, slots) -> most.merge(version, slots, Math::max));
        }
        if (isBeforeFirst(sinceMillis)) {
            leaving.forEach((version, slots) -> most.merge(version, slots, Math::max));
        }
        List<VersionRange> ranges = new ArrayList<>(most.size());
        most.forEach(
                (version, slots) ->
                        ranges.add(new VersionRange(version, leastSlots(version, inForce), slots)));
        return ranges;
    }

    private static int leastSlots(String version, List<Sample> samples) {
        int least = Integer.MAX_VALUE;
        for (Sample sample : samples) {
            least = Math.min(least, sample.admitted().getOrDefault(version, 0));
        }
        return samples.isEmpty() ? 0 : least;
    }

    private boolean isBeforeFirst(long sinceMillis) {
        return samples.isEmpty() || sinceMillis < samples.getFirst().fromMillis();
    }

    /** Returns the samples that were in force at a time or later. */
    private List<Sample> since(long sinceMillis) {
        List<Sample> inForce = new ArrayList<>();
        if (isBeforeFirst(sinceMillis)) {
            recorded.ifPresent(inForce::add);
        }
        for (var newestFirst = samples.descendingIterator(); newestFirst.hasNext(); ) {
            Sample sample = newestFirst.next();
            inForce.add(sample);
            if (sample.fromMillis() <= sinceMillis) {
                break;
            }
        }
        return inForce;
    }

    /**
     * Returns the version that an id was assigned, whatever slots the versions had within their
     * ranges: the one that wins with its least slots against the most slots of all others. Empty if
     * that is none.
     */
    static Optional<String> assigned(String id, List<VersionRange> ranges) {
        for (VersionRange range : ranges) {
            double own = delay(id, range.version(), range.leastSlots());
            boolean first =
                    ranges.stream()
                            .filter(other -> !other.equals(range))
                            .allMatch(other -> own < delay(id, other.version(), other.mostSlots()));
            if (first) {
                return Optional.of(range.version());
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
