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
package io.trailladder.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Remembers, beyond their exchanges, under which requests upstreams ended, so that one that ends
 * whatever runs it is refused.
 *
 * <p>What is known is a set of ends, each named by its upstream's life, and a time up to which they
 * do not count. Processes merge what they hear by union and by the later time, so that order, ways
 * and repeats of what they tell each other do not matter. A request with {@value #REFUSED_FROM}
 * ends that count is refused, with two exceptions, each of which can cost it one more upstream:
 *
 * <ul>
 *   <li>It only stood beside another one: each of its ends but two at most is also one of a request
 *       that has more of them, or as many and had run for a shorter time. If the wrong one of two
 *       alike was chosen, the next end sets them apart.
 *   <li>It has rested, and the one process that may do so sends it once more. If it is then served
 *       whole, no end before counts, at any process.
 * </ul>
 *
 * <p>From {@value #REFUSED_ANYWAY_FROM} ends on it is refused whatever stands beside it, so that no
 * request ends more upstreams than these, and those where it runs before the news is round.
 *
 * <pre>{@code
 * ledger.ended(request, UpstreamEnd.incarnationOf("w-1", born), sentMillis, now);
 * if (ledger.verdict(request, now) == CrashVerdict.REFUSED) {
 *     // answer at once
 * }
 * }</pre>
 *
 * @since 0.6
 */
public final class CrashLedger {
    /** Ends from which on a request is refused: the users' platform takes three for proof. */
    public static final int REFUSAL_MIN_ENDS = 3;

    /** Ends from which on it is refused although others stood beside it each time. */
    public static final int UNCONDITIONAL_REFUSAL_MIN_ENDS = 4;

    /** How long a refused request rests before it is sent once more, in milliseconds. */
    public static final long RETRY_DELAY_MILLIS = 30_000;

    /**
     * How long the entry of an upstream that has ended may stand, in milliseconds: three heartbeats
     * of 1.2 s without a write, the store's and the hubs' ways, and as much again.
     */
    public static final long MAX_LISTED_MILLIS = 8_000;

    /** Most requests remembered: some 500 bytes each, so 1 MB. */
    public static final int MAX_REQUESTS = 2_000;

    /** How long a request is remembered that is not refused, in milliseconds. */
    static final long RETENTION_MILLIS = 600_000;

    /** How long a refused one is remembered, in milliseconds: a day. */
    public static final long REFUSED_RETENTION_MILLIS = 86_400_000;

    private static final int SUSPECT_MIN_ENDS = REFUSAL_MIN_ENDS - 1;

    private static final Comparator<CrashHistory> MOST_ENDS_FIRST =
            Comparator.comparingInt(CrashHistory::endCount)
                    .thenComparingLong(CrashHistory::changedMillis)
                    .reversed();

    /** In the order in which something became known of them last. */
    private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();

    private boolean suspects;

    /**
     * Records that an upstream ended here just now while it had a request.
     *
     * @param request the request
     * @param upstream the upstream's life, see {@link UpstreamEnd#incarnationOf}
     * @param sentMillis when the request was sent there, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return true if this was not known
     */
    public boolean ended(
            RequestFingerprint request, long upstream, long sentMillis, long nowMillis) {
        return ended(request, upstream, sentMillis, nowMillis, nowMillis);
    }

    /**
     * Records that an upstream ended here while it had a request, perhaps a moment ago.
     *
     * @param request the request
     * @param upstream the upstream's life, see {@link UpstreamEnd#incarnationOf}
     * @param sentMillis when the request was sent there, in milliseconds
     * @param atMillis when the request was there last, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return true if this was not known
     */
    public boolean ended(
            RequestFingerprint request,
            long upstream,
            long sentMillis,
            long atMillis,
            long nowMillis) {
        CrashHistory history = history(request);
        int before = history.endCountOf(upstream, sentMillis);
        UpstreamEnd end = new UpstreamEnd(upstream, before, atMillis, atMillis - sentMillis);
        return added(history, end, CrashHistory.OWN_SOURCE, nowMillis);
    }

    /**
     * Records that a request ran whole, or that an operator vouches for it: ends before this do not
     * count.
     *
     * @param request the request
     * @param nowMillis the time, in milliseconds
     * @return false if nothing was held against it
     */
    public boolean cleared(RequestFingerprint request, long nowMillis) {
        CrashHistory history = histories.get(request);
        return history != null
                && history.endCount() > 0
                && history.clear(nowMillis, CrashHistory.OWN_SOURCE, nowMillis);
    }

    /**
     * Takes over what a peer tells.
     *
     * @param peer the peer's name
     * @param report what it tells, in times of this process
     * @param nowMillis the time, in milliseconds
     * @return true if the request is refused for what this adds
     */
    public boolean received(String peer, CrashReport report, long nowMillis) {
        if (report.ends().isEmpty() && !histories.containsKey(report.request())) {
            return false;
        }
        CrashHistory history = history(report.request());
        boolean refusedBefore = history.endCount() >= REFUSAL_MIN_ENDS;
        if (report.clearedMillis() != CrashReport.NEVER) {
            history.clear(report.clearedMillis(), peer, nowMillis);
        }
        for (UpstreamEnd end : report.ends()) {
            added(history, end, peer, nowMillis);
        }
        return !refusedBefore && history.endCount() >= REFUSAL_MIN_ENDS;
    }

    private boolean added(CrashHistory history, UpstreamEnd end, String source, long nowMillis) {
        boolean added = history.add(end, source, nowMillis);
        suspects |= added && history.endCount() >= SUSPECT_MIN_ENDS;
        return added;
    }

    /**
     * Tells whether any request is near to being refused, so that requests need looking up.
     *
     * @return false if {@link #verdict} lets all pass
     */
    public boolean hasSuspects() {
        return suspects;
    }

    /**
     * Tells what becomes of a request.
     *
     * @param request the request
     * @param nowMillis the time, in milliseconds
     * @return the verdict; one that is to be tried again must be told by {@link #retried}
     */
    public CrashVerdict verdict(RequestFingerprint request, long nowMillis) {
        CrashHistory history = histories.get(request);
        int ends = history == null ? 0 : history.endCount();
        if (ends < REFUSAL_MIN_ENDS) {
            return CrashVerdict.SERVED;
        }
        if (ends < UNCONDITIONAL_REFUSAL_MIN_ENDS) {
            if (CrashAttribution.isExplainedByOthers(request, histories, REFUSAL_MIN_ENDS)) {
                return CrashVerdict.SERVED;
            }
            if (history.mayBeRetriedHere(nowMillis - RETRY_DELAY_MILLIS)) {
                return CrashVerdict.TRIED_AGAIN;
            }
        }
        return CrashVerdict.REFUSED;
    }

    /**
     * Records that a request is sent once more after its rest.
     *
     * @param request the request
     */
    public void retried(RequestFingerprint request) {
        history(request).retried();
    }

    /**
     * Looks through what is remembered: ends of upstreams that live on do not count, and what is
     * old is forgotten. To be called about once a second.
     *
     * @param living the lives of upstreams that are listed now
     * @param surelySinceMillis since when the list has been sound without a break, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    public void cleanUp(Set<Long> living, long surelySinceMillis, long nowMillis) {
        if (nowMillis - surelySinceMillis >= MAX_LISTED_MILLIS) {
            long before = nowMillis - MAX_LISTED_MILLIS;
            histories.values().forEach(history -> history.dismiss(living, before));
        }
        histories.values().removeIf(history -> isOld(history, nowMillis));
        updateSuspects();
    }

    /**
     * Takes over that an upstream lived at some time: what was seen of its end before was the end
     * of a connection.
     *
     * @param upstream the upstream's life
     * @param atMillis the time, in milliseconds
     */
    public void observedAlive(long upstream, long atMillis) {
        Set<Long> living = Set.of(upstream);
        histories.values().forEach(history -> history.dismiss(living, atMillis));
        updateSuspects();
    }

    private void updateSuspects() {
        suspects = histories.values().stream().anyMatch(h -> h.endCount() >= SUSPECT_MIN_ENDS);
    }

    private static boolean isOld(CrashHistory history, long nowMillis) {
        boolean refused = history.endCount() >= REFUSAL_MIN_ENDS;
        long kept = refused ? REFUSED_RETENTION_MILLIS : RETENTION_MILLIS;
        return nowMillis - history.changedMillis() > kept;
    }

    /**
     * Returns what became known since a time.
     *
     * @param sinceMillis the time, in milliseconds
     * @param sources whose news are wanted, {@link CrashHistory#OWN_SOURCE} for this process's own
     * @return reports, the most telling first
     */
    public List<CrashReport> changedSince(long sinceMillis, Predicate<String> sources) {
        return reports(history -> history.hasChanged(sinceMillis, sources));
    }

    /**
     * Returns the requests that are refused, or nearly.
     *
     * @return reports, the most telling first
     */
    public List<CrashReport> suspected() {
        return reports(history -> history.endCount() >= SUSPECT_MIN_ENDS);
    }

    /**
     * Returns the requests that have too many ends, whoever stood beside.
     *
     * @return reports, the most telling first
     */
    public List<CrashReport> refused() {
        return reports(history -> history.endCount() >= REFUSAL_MIN_ENDS);
    }

    private List<CrashReport> reports(Predicate<CrashHistory> wanted) {
        List<Map.Entry<RequestFingerprint, CrashHistory>> some = new ArrayList<>();
        for (Map.Entry<RequestFingerprint, CrashHistory> entry : histories.entrySet()) {
            if (wanted.test(entry.getValue())) {
                some.add(entry);
            }
        }
        some.sort(Map.Entry.comparingByValue(MOST_ENDS_FIRST));
        return some.stream().map(entry -> entry.getValue().report(entry.getKey())).toList();
    }

    /**
     * Returns the ends of a request that count.
     *
     * @param request the request
     * @return the ends and who told them; empty if there are none
     */
    public List<CrashHistory.CountedEnd> countedEnds(RequestFingerprint request) {
        CrashHistory history = histories.get(request);
        return history == null ? List.of() : history.countedEnds();
    }

    /**
     * Tells whether nothing is remembered.
     *
     * @return true if there is nothing to tell or to look through
     */
    public boolean isEmpty() {
        return histories.isEmpty();
    }

    /**
     * Returns how many requests are remembered.
     *
     * @return a count of at most {@value #MOST_REQUESTS}
     */
    public int size() {
        return histories.size();
    }

    /** Returns the history of a request of which something becomes known. */
    private CrashHistory history(RequestFingerprint request) {
        CrashHistory known = histories.remove(request);
        if (known == null && histories.size() >= MAX_REQUESTS) {
            evictOne();
        }
        CrashHistory history = known == null ? new CrashHistory() : known;
        histories.put(request, history);
        return history;
    }

    /** Forgets what has not changed for longest; what is near to being refused goes last. */
    private void evictOne() {
        Iterator<CrashHistory> oldestFirst = histories.values().iterator();
        while (oldestFirst.hasNext()) {
            if (oldestFirst.next().endCount() < SUSPECT_MIN_ENDS) {
                oldestFirst.remove();
                return;
            }
        }
        histories.remove(histories.keySet().iterator().next());
    }
}
