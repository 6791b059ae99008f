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
 * <p>Each process states the number of the plan that it uses. What a process stated last holds for
 * some time after it has ended, since its streams are resumed, and for longer after it has become
 * silent, since it may still serve callers.
 */
final class PlanUse {
    /** The number that {@link #silentNumber} returns if no process is silent. */
    static final long NONE = -1;

    /** How long a silent process may still serve callers by its plan, in milliseconds. */
    static final long MAX_SILENCE_MILLIS = 600_000;

    /** How long a process counts that was listed and never heard, in milliseconds. */
    static final long MAX_UNHEARD_MILLIS = 60_000;

    /** Number of digests without a statement after which a peer is known to use no plans. */
    private static final int MAX_UNPLANNED_DIGESTS = 3;

    private final Map<String, Long> stated = new HashMap<>();

    /** How many digests came of peers that have not stated a plan. */
    private final Map<String, Integer> unplanned = new HashMap<>();

    /** Processes that were listed or linked and have stated nothing yet. */
    private final Map<String, Held> unheard = new HashMap<>();

    /** Those of them that are not listed any more. */
    private final Set<String> missed = new HashSet<>();

    /** Processes that have become silent. */
    private final Map<String, Held> silent = new HashMap<>();

    /** What processes stated before they ended. */
    private final List<Held> ended = new ArrayList<>();

    /** What processes stated whose link was lost, and that may turn out to be silent. */
    private final Map<String, Held> removed = new HashMap<>();

    /** What processes used that ended before this one started. */
    private final List<Held> earlier = new ArrayList<>();

    /** What the record tells of processes that are silent, or were not heard yet. */
    private final List<Held> recordedSilent = new ArrayList<>();

    private final Set<String> everStated = new HashSet<>();

    /** A plan that may be in use until a time. */
    private record Held(long number, long untilMillis) {
        static Held ended(long number, long nowMillis) {
            return new Held(number, nowMillis + StreamVersions.MAX_AGE_MILLIS);
        }

        static Held silent(long number, long sinceMillis) {
            return new Held(number, sinceMillis + MAX_SILENCE_MILLIS);
        }
    }

    /** Records the oldest plan that a peer, or those for which it speaks, use. */
    void stated(String peer, long number, long nowMillis) {
        endSilence(peer, nowMillis);
        removed.remove(peer);
        stated.put(peer, number);
        everStated.add(peer);
        unplanned.remove(peer);
        unheard.remove(peer);
    }

    /** Records that a digest of a peer has arrived, with a statement or without. */
    void heard(String peer, boolean planned) {
        if (planned) {
            unplanned.remove(peer);
        } else if (!stated.containsKey(peer)) {
            unplanned.merge(peer, 1, Integer::sum);
        }
    }

    /**
     * Records the processes that the store lists, this one excluded, all of which are linked.
     *
     * @return whether one that was never heard is not listed any more, each one once
     */
    boolean listed(Collection<String> peers, long ownNumber, long nowMillis) {
        missed.retainAll(unheard.keySet());
        missed.removeAll(peers);
        boolean isAnyLost = false;
        for (String peer : unheard.keySet()) {
            isAnyLost |= !peers.contains(peer) && missed.add(peer);
        }
        for (String peer : peers) {
            if (!everStated.contains(peer)) {
                expect(peer, ownNumber, nowMillis);
            }
        }
        return isAnyLost;
    }

    private void expect(String peer, long ownNumber, long nowMillis) {
        Held before = unheard.get(peer);
        long number = before == null ? running(ownNumber) : before.number();
        unheard.put(peer, new Held(number, nowMillis + MAX_UNHEARD_MILLIS));
    }

    /**
     * Holds the plans that processes used before this one started.
     *
     * @param leastNumber the oldest plan that one may use that still runs
     * @param leftMillis for how long, by the number of the plan
     */
    void usedBefore(long leastNumber, Map<Long, Long> leftMillis, long nowMillis) {
        unheard.replaceAll(
                (peer, each) -> new Held(Math.max(leastNumber, each.number()), each.untilMillis()));
        leftMillis.forEach((number, left) -> earlier.add(new Held(number, nowMillis + left)));
    }

    /**
     * Holds the plans that processes may use that are silent according to the record.
     *
     * @param leftMillis for how long, by the number of the plan
     */
    void silentBefore(Map<Long, Long> leftMillis, long nowMillis) {
        for (Held before : recordedSilent) {
            if (before.untilMillis() >= nowMillis && !leftMillis.containsKey(before.number())) {
                ended.add(Held.ended(before.number(), nowMillis));
            }
        }
        recordedSilent.clear();
        leftMillis.forEach(
                (number, left) -> recordedSilent.add(new Held(number, nowMillis + left)));
    }

    /** Returns for how long plans may have assigned streams that are resumed, by their number. */
    Map<Long, Long> leftMillis(long ownNumber, long nowMillis) {
        Map<Long, Long> left = leftOf(Stream.concat(earlier.stream(), ended.stream()), nowMillis);
        left.put(oldestHeard(ownNumber), StreamVersions.MAX_AGE_MILLIS);
        return left;
    }

    /** Returns for how long silent processes may use plans, by their number. */
    Map<Long, Long> silentMillis(long nowMillis) {
        return leftOf(silentOnes(), nowMillis);
    }

    private static Map<Long, Long> leftOf(Stream<Held> held, long nowMillis) {
        Map<Long, Long> left = new HashMap<>();
        held.forEach(each -> left.merge(each.number(), each.untilMillis() - nowMillis, Math::max));
        left.values().removeIf(millis -> millis <= 0);
        return left;
    }

    /**
     * Records that the statements of a peer are not received any more.
     *
     * @return whether it had made any
     */
    boolean removed(String peer, long nowMillis) {
        boolean isUnplanned = isUnplanned(peer);
        Long number = stated.remove(peer);
        unplanned.remove(peer);
        if (isUnplanned || number != null) {
            long held = isUnplanned ? 0 : number;
            ended.add(Held.ended(held, nowMillis));
            removed.put(peer, Held.ended(held, nowMillis));
        }
        return isUnplanned || number != null;
    }

    /** Records that a peer has become silent, though it has not announced that it stops. */
    void silent(String peer, long ownNumber, long sinceMillis) {
        Held before = silent.getOrDefault(peer, removed.getOrDefault(peer, unheard.get(peer)));
        long number = before == null ? running(ownNumber) : before.number();
        silent.put(peer, Held.silent(number, sinceMillis));
    }

    /** Records that a process has been linked, which may have restarted. */
    void linked(String peer, long ownNumber, long nowMillis) {
        expect(peer, ownNumber, nowMillis);
        Long number = stated.remove(peer);
        if (number != null) {
            ended.add(Held.ended(number, nowMillis));
        }
        endSilence(peer, nowMillis);
    }

    /** Holds the plan by which a silent peer may have assigned streams until now. */
    private void endSilence(String peer, long nowMillis) {
        Held before = silent.remove(peer);
        if (before != null) {
            ended.add(Held.ended(before.number(), nowMillis));
        }
    }

    void prune(long nowMillis) {
        ended.removeIf(each -> each.untilMillis() < nowMillis);
        earlier.removeIf(each -> each.untilMillis() < nowMillis);
        unheard.values().removeIf(each -> each.untilMillis() < nowMillis);
        silent.values().removeIf(each -> each.untilMillis() < nowMillis);
        removed.values().removeIf(each -> each.untilMillis() < nowMillis);
        recordedSilent.removeIf(each -> each.untilMillis() < nowMillis);
    }

    private boolean isUnplanned(String peer) {
        return unplanned.getOrDefault(peer, 0) > MAX_UNPLANNED_DIGESTS;
    }

    /**
     * Returns the oldest plan that this process, some peers or processes that have left use.
     *
     * @param ownNumber the plan that this process uses
     * @return the number; 0 if one of them does not use plans
     */
    long oldest(long ownNumber, Collection<String> peers) {
        long left = least(Stream.concat(ended.stream(), silent.values().stream()), ownNumber);
        return Math.min(oldestOf(peers, ownNumber), left);
    }

    private long oldestOf(Collection<String> peers, long ownNumber) {
        long oldest = ownNumber;
        for (String peer : peers) {
            Held expected = unheard.get(peer);
            long number = expected == null ? ownNumber : expected.number();
            oldest = Math.min(oldest, isUnplanned(peer) ? 0 : stated.getOrDefault(peer, number));
        }
        return oldest;
    }

    /** Returns the oldest plan that any known process uses; 0 if one does not use plans. */
    long oldest(long ownNumber) {
        Stream<Held> left = Stream.concat(ended.stream(), earlier.stream());
        return Math.min(running(ownNumber), least(left, ownNumber));
    }

    /** Returns the oldest plan that a process may use that has not ended. */
    private long running(long ownNumber) {
        return Math.min(oldestHeard(ownNumber), least(silentOnes(), ownNumber));
    }

    /** Returns the oldest plan that this process, or one that it hears, uses. */
    private long oldestHeard(long ownNumber) {
        Set<String> heard = new HashSet<>(stated.keySet());
        heard.addAll(unplanned.keySet());
        return oldestOf(heard, ownNumber);
    }

    /** Returns the oldest plan that a silent process may use; {@link #NONE} if there is none. */
    long silentNumber() {
        long least = least(silent.values().stream(), Long.MAX_VALUE);
        return least == Long.MAX_VALUE ? NONE : least;
    }

    /** Returns whether processes may be running that cannot be asked. */
    boolean isAnySilent() {
        return silentOnes().findAny().isPresent();
    }

    /** Returns what processes may use that are silent, or were not heard yet. */
    private Stream<Held> silentOnes() {
        Stream<Held> own = Stream.concat(silent.values().stream(), unheard.values().stream());
        return Stream.concat(own, recordedSilent.stream());
    }

    private static long least(Stream<Held> held, long otherwise) {
        return held.mapToLong(Held::number).min().orElse(otherwise);
    }
}
