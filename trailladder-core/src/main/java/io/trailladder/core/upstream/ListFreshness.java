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

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Until when the list of upstreams is known to this process to be the one that all processes use.
 *
 * <p>The list is current while the store, or a peer that forwards its changes, confirms it. While
 * the store answers nobody, it is also current as long as every peer responds that did at its last
 * confirmation: then no process can have a newer one.
 *
 * <pre>{@code
 * streams.list().confirmed(nowMillis);
 * long ageMillis = streams.list().ageMillis(nowMillis);
 * }</pre>
 *
 * @since 0.7
 */
public final class ListFreshness {
    /** Maximum time between two confirmations of a list that is current, in milliseconds. */
    static final long MAX_CONFIRMATION_GAP_MILLIS = 2_000;

    /** How long a silent peer may still serve callers by its last list, in milliseconds. */
    static final long MAX_SILENCE_MILLIS = 60_000;

    /** Age from which a silence is not told any more, so that all processes forget it. */
    static final long MAX_TOLD_SILENCE_MILLIS = 55_000;

    /**
     * How long a process begins streams that hears neither the store nor a peer, in milliseconds.
     * Others that were lost meanwhile count it for as long as its streams are resumed then.
     */
    static final long MAX_ISOLATION_MILLIS =
            PlanUse.MAX_UNHEARD_MILLIS - StreamVersions.MAX_AGE_MILLIS;

    /** How long a silence lasts that nobody tells any more, in milliseconds: several digests. */
    private static final long MAX_UNTOLD_MILLIS = 2_000;

    /** Time between two ticks from which this process was frozen, in milliseconds. */
    private static final long FROZEN_MILLIS = 1_000;

    /** How long the statement of a process that forwards the list counts, in milliseconds. */
    private static final long FEEDER_MILLIS = 1_000;

    /** How long a peer may take to tell which streams it began while it was silent. */
    private static final long TELLING_MILLIS = 1_500;

    private final String own;

    /** Peers that send nothing. */
    private final Map<String, Silence> silences = new HashMap<>();

    /** When this process itself last heard each peer. */
    private final Map<String, Long> heardMillis = new HashMap<>();

    /** Peers that tell that their list may be outdated. */
    private final Map<String, Silence> outdated = new HashMap<>();

    private long confirmedMillis;
    private boolean everConfirmed;
    private long tickedMillis;
    private long frozenUntilMillis = Long.MIN_VALUE;
    private long feederCurrentMillis = Long.MAX_VALUE;
    private long feederToldMillis = Long.MIN_VALUE / 2;

    /**
     * A time in which a peer may have served by an older list.
     *
     * @param untilMillis when it can be forgotten
     * @param toldMillis when another process told it last; {@link #OWN} if this process has noticed
     *     it itself
     */
    private record Silence(long sinceMillis, long untilMillis, boolean over, long toldMillis) {
        static final long OWN = Long.MAX_VALUE;

        Silence endedAt(long nowMillis) {
            return over
                    ? this
                    : new Silence(sinceMillis, nowMillis + TELLING_MILLIS, true, toldMillis);
        }

        /** Returns this silence after another statement that it lasts. */
        Silence confirmedBy(Silence other) {
            return over
                    ? other
                    : new Silence(
                            Math.min(sinceMillis, other.sinceMillis),
                            Math.min(untilMillis, other.untilMillis),
                            false,
                            Math.max(toldMillis, other.toldMillis));
        }

        boolean isNoLongerTold(long nowMillis) {
            return toldMillis != OWN && nowMillis - toldMillis > MAX_UNTOLD_MILLIS;
        }
    }

    /**
     * Creates an instance for a list that is about to be received.
     *
     * @param own the name of this process
     * @param startedMillis when this process started, in milliseconds
     */
    ListFreshness(String own, long startedMillis) {
        this.own = own;
        confirmedMillis = startedMillis;
        tickedMillis = startedMillis;
    }

    /**
     * Records that the process that forwards the list of upstreams to this one may lack changes.
     *
     * @param currentUntilMillis until when its list is known to be current, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void feederOutdated(long currentUntilMillis, long nowMillis) {
        feederCurrentMillis = currentUntilMillis;
        feederToldMillis = nowMillis;
    }

    /**
     * Records that the list of upstreams was shown to be current.
     *
     * @param atMillis when, in milliseconds
     */
    public void confirmed(long atMillis) {
        everConfirmed = true;
        confirmedMillis = Math.max(confirmedMillis, atMillis);
    }

    /** Records that a peer that may still run has sent nothing to this process since a time. */
    void peerSilent(String peer, long sinceMillis) {
        record(silences, peer, sinceMillis, Silence.OWN);
    }

    /**
     * Records that a peer tells that another one is silent, unless that is this process. It is over
     * when no peer tells it any more.
     *
     * @param peer the silent peer's name
     * @param sinceMillis when the silent peer last sent something, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void learnedSilence(String peer, long sinceMillis, long nowMillis) {
        boolean heardSince = heardMillis.getOrDefault(peer, Long.MIN_VALUE) > sinceMillis;
        boolean old = nowMillis - sinceMillis > MAX_TOLD_SILENCE_MILLIS;
        if (!peer.equals(own) && !heardSince && !old) {
            record(silences, peer, sinceMillis, nowMillis);
        }
    }

    /**
     * Records that a peer tells that its list of upstreams may be outdated.
     *
     * @param peer the peer's name
     * @param sinceMillis since when, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void peerOutdated(String peer, long sinceMillis, long nowMillis) {
        record(outdated, peer, sinceMillis, nowMillis);
    }

    private static void record(
            Map<String, Silence> silences, String peer, long sinceMillis, long toldMillis) {
        long untilMillis = sinceMillis + MAX_SILENCE_MILLIS;
        silences.merge(
                peer,
                new Silence(sinceMillis, untilMillis, false, toldMillis),
                Silence::confirmedBy);
    }

    /** Records that a peer has sent something. */
    void peerHeard(String peer, long nowMillis) {
        heardMillis.put(peer, nowMillis);
        silences.computeIfPresent(peer, (name, silence) -> silence.endedAt(nowMillis));
    }

    /**
     * To be called several times a second; a longer pause shows that the process was frozen.
     *
     * @return whether it was frozen since the last call
     */
    boolean tick(long nowMillis) {
        boolean wasFrozen = nowMillis - tickedMillis > FROZEN_MILLIS;
        if (wasFrozen) {
            frozenUntilMillis = nowMillis;
        }
        tickedMillis = nowMillis;
        endUntold(silences, nowMillis);
        endUntold(outdated, nowMillis);
        prune(nowMillis);
        return wasFrozen;
    }

    private static void endUntold(Map<String, Silence> silences, long nowMillis) {
        silences.replaceAll(
                (peer, silence) ->
                        silence.isNoLongerTold(nowMillis) ? silence.endedAt(nowMillis) : silence);
    }

    /** Forgets peers that have been silent for long, unless this process is isolated itself. */
    private void prune(long nowMillis) {
        if (isConfirmed(nowMillis)) {
            heardMillis.values().removeIf(heard -> nowMillis - heard > MAX_SILENCE_MILLIS);
            silences.values().removeIf(silence -> silence.untilMillis() < nowMillis);
            outdated.values().removeIf(silence -> silence.untilMillis() < nowMillis);
        }
    }

    private boolean isConfirmed(long nowMillis) {
        return everConfirmed && nowMillis - confirmedMillis <= MAX_CONFIRMATION_GAP_MILLIS;
    }

    /**
     * Returns since when each peer has been silent that may still serve callers. Processes that
     * start must be told of them.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the times by peer, in milliseconds
     */
    public Map<String, Long> silences(long nowMillis) {
        Map<String, Long> since = new HashMap<>();
        silences.forEach(
                (peer, silence) -> {
                    boolean recent = nowMillis - silence.sinceMillis() <= MAX_TOLD_SILENCE_MILLIS;
                    if (!silence.over() && recent) {
                        since.put(peer, silence.sinceMillis());
                    }
                });
        return since;
    }

    /** Returns since when some peer has been silent; {@code Long.MAX_VALUE} if none is. */
    long silentSinceMillis() {
        return Stream.concat(silences.values().stream(), outdated.values().stream())
                .mapToLong(Silence::sinceMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Returns whether this process has heard neither the store nor a peer for so long that others
     * may take it for ended, and at least one peer may still serve callers.
     */
    boolean isIsolated(long nowMillis) {
        return nowMillis - confirmedMillis > MAX_ISOLATION_MILLIS
                && silences.values().stream().anyMatch(ListFreshness::isNoticedHere)
                && heardMillis.values().stream()
                        .allMatch(heard -> nowMillis - heard > MAX_ISOLATION_MILLIS);
    }

    private static boolean isNoticedHere(Silence silence) {
        return !silence.over() && silence.toldMillis() == Silence.OWN;
    }

    /** Returns until when the list is known to be current, at the latest now. */
    long currentUntilMillis(long nowMillis) {
        boolean frozen =
                confirmedMillis < frozenUntilMillis || nowMillis - tickedMillis > FROZEN_MILLIS;
        boolean confirmed = isConfirmed(nowMillis) && !isSilentSinceConfirmed();
        boolean allHeard = everConfirmed && silences.isEmpty() && outdated.isEmpty();
        boolean heard = confirmed || allHeard;
        if (frozen || !heard) {
            return Math.min(nowMillis - 1, Math.min(tickedMillis, confirmedMillis));
        }
        boolean fedOutdated = nowMillis - feederToldMillis <= FEEDER_MILLIS;
        return fedOutdated ? Math.min(nowMillis - 1, feederCurrentMillis) : nowMillis;
    }

    /**
     * Returns until when other processes are told that the list is current.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the time, in milliseconds; now if the list is current, or there is none yet
     */
    public long statedUntilMillis(long nowMillis) {
        // a process that has no list yet does not serve by an old one
        return everConfirmed ? currentUntilMillis(nowMillis) : nowMillis;
    }

    /** Returns whether the list was ever confirmed. */
    boolean isEverConfirmed() {
        return everConfirmed;
    }

    long confirmedMillis() {
        return confirmedMillis;
    }

    /** Returns whether the list has not been confirmed since this process lost a peer. */
    private boolean isSilentSinceConfirmed() {
        return silences.values().stream()
                .anyMatch(
                        silence ->
                                isNoticedHere(silence) && silence.sinceMillis() >= confirmedMillis);
    }

    /**
     * Returns how long ago the list was last shown to be current.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the age, in milliseconds
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - confirmedMillis;
    }
}
