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

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The oldest plan by which a process may have assigned a stream that is still resumed, of all
 * processes that this one knows of.
 *
 * <p>Each process tells the number of the plan that it uses. What a process told last holds for
 * some time after it has ended, since its streams are resumed, and for longer after it has become
 * silent, since it may still serve callers.
 */
final class PlanUse {
    /** Number of digests without a plan after which a peer does not assign streams by plans. */
    private static final int MAX_UNPLANNED_DIGESTS = 3;

    private final Map<String, Long> told = new HashMap<>();

    /** How many digests came of peers that have not told a plan. */
    private final Map<String, Integer> unplanned = new HashMap<>();

    /** Processes that are listed in the store and have told nothing yet. */
    private final Map<String, Held> unheard = new HashMap<>();

    private final Set<String> everTold = new HashSet<>();

    /** What processes told before they ended, became silent or restarted. */
    private final List<Held> held = new ArrayList<>();

    /** The same of processes that ended before this one started; the others know it themselves. */
    private final List<Held> earlier = new ArrayList<>();

    /** What peers told whose figures were removed last. */
    private final Map<String, Long> removed = new HashMap<>();

    /**
     * A plan that may be in use until a time.
     *
     * @param silent whether the process that used it may still assign streams
     */
    private record Held(long number, boolean silent, long untilMillis) {
        static Held ended(long number, long nowMillis) {
            return new Held(number, false, nowMillis + StreamVersions.MAX_AGE_MILLIS);
        }

        static Held silent(long number, long sinceMillis) {
            return new Held(number, true, sinceMillis + ListFreshness.MAX_SILENCE_MILLIS);
        }
    }

    /** Records the oldest plan that a peer, or those for which it speaks, use. */
    void told(String peer, long number) {
        told.put(peer, number);
        everTold.add(peer);
        removed.remove(peer);
        unplanned.remove(peer);
        unheard.remove(peer);
    }

    /** Records that a digest of a peer has arrived, which may tell a plan or not. */
    void heard(String peer) {
        if (!told.containsKey(peer)) {
            unplanned.merge(peer, 1, Integer::sum);
        }
    }

    /** Records the processes that the store lists, this one excluded, all of which are linked. */
    void listed(Collection<String> peers, long ownNumber, long nowMillis) {
        for (String peer : peers) {
            if (!everTold.contains(peer)) {
                Held before = unheard.get(peer);
                long number = before == null ? oldest(ownNumber) : before.number();
                unheard.put(peer, Held.silent(number, nowMillis));
            }
        }
    }

    /** Holds the oldest plan that processes used before this one started. */
    void usedBefore(long number, long silentNumber, long nowMillis) {
        earlier.add(Held.ended(number, nowMillis));
        if (silentNumber > 0) {
            earlier.add(Held.silent(silentNumber, nowMillis));
        }
    }

    /**
     * Records that the figures of a peer are not received any more.
     *
     * @return whether it had told any
     */
    boolean removed(String peer, long nowMillis) {
        Long number = unplanned.containsKey(peer) ? Long.valueOf(0) : told.get(peer);
        told.remove(peer);
        unplanned.remove(peer);
        if (number != null) {
            held.add(Held.ended(number, nowMillis));
            removed.put(peer, number);
        }
        return number != null;
    }

    /** Records that a peer has become silent, though it has not announced that it stops. */
    void silent(String peer, long ownNumber, long sinceMillis) {
        Long number = removed.remove(peer);
        held.add(Held.silent(number == null ? oldest(ownNumber) : number, sinceMillis));
    }

    /** Records that a process has been linked, which may have restarted. */
    void linked(String peer, long nowMillis) {
        Long number = told.get(peer);
        if (number != null) {
            held.add(Held.ended(number, nowMillis));
        }
    }

    void prune(long nowMillis) {
        held.removeIf(each -> each.untilMillis() < nowMillis);
        earlier.removeIf(each -> each.untilMillis() < nowMillis);
        unheard.values().removeIf(each -> each.untilMillis() < nowMillis);
    }

    /** Returns the oldest plan that this process, some peers or processes that left it use. */
    long oldest(long ownNumber, Collection<String> peers) {
        long oldest = ownNumber;
        for (String peer : peers) {
            oldest = Math.min(oldest, told.getOrDefault(peer, ownNumber));
        }
        return Math.min(oldest, least(held.stream(), ownNumber));
    }

    /** Returns the oldest plan that any known process uses; 0 if one does not use plans. */
    long oldest(long ownNumber) {
        if (unplanned.values().stream().anyMatch(count -> count > MAX_UNPLANNED_DIGESTS)) {
            return 0;
        }
        Stream<Held> unknown = Stream.concat(earlier.stream(), unheard.values().stream());
        return Math.min(oldest(ownNumber, told.keySet()), least(unknown, ownNumber));
    }

    /** Returns the oldest plan that a silent process may use; 0 if there is none. */
    long silentNumber() {
        return least(silent(), 0);
    }

    /** Returns whether processes may be running that cannot be asked. */
    boolean isAnySilent() {
        return silent().findAny().isPresent();
    }

    private Stream<Held> silent() {
        return Stream.of(held, earlier, unheard.values())
                .flatMap(Collection::stream)
                .filter(Held::silent);
    }

    private static long least(Stream<Held> held, long otherwise) {
        return held.mapToLong(Held::number).min().orElse(otherwise);
    }
}
