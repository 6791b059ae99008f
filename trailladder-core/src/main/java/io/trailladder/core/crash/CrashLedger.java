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
 * Records, beyond the end of exchanges, under which requests upstreams ended, so that a request
 * that ends every upstream that runs it is refused.
 *
 * <p>The state of a request is a set of ends, each identified by the incarnation of its upstream,
 * and a time up to which they do not count. Processes merge received reports by the union of the
 * sets and by the later time, so that order, paths and repeats of the reports do not matter. A
 * request with {@value #REFUSAL_MIN_ENDS} ends that count is refused, with two exceptions, each of
 * which can cost one more upstream:
 *
 * <ul>
 *   <li>The request was only in progress beside another one: each of its ends but two at most is
 *       also an end of a request that has more of them, or as many and had run for a shorter time.
 *       If the wrong one of two similar requests was chosen, the next end distinguishes them.
 *   <li>{@link #RETRY_DELAY_MILLIS} have passed without an end, and the one process that may do so
 *       sends it once more. If it is then served completely, no earlier end counts, at any process.
 * </ul>
 *
 * <p>A part of a prompt is judged in the same way by the ends under all requests that have it, of
 * which {@value #REFUSAL_MIN_ENDS} must be different. Upstreams that survive a request with it
 * clear it, so that a part which many requests share has few ends that count at any time.
 *
 * <p>From {@value #UNCONDITIONAL_REFUSAL_MIN_ENDS} ends on a whole request is refused whatever the
 * other requests were, so that no request ends more upstreams than these and those where it runs
 * before all processes have received the reports.
 *
 * <pre>{@code
 * ledger.ended(request, UpstreamEnd.incarnationOf("w-1", startedMillis), sentMillis, now);
 * if (ledger.verdict(request, now) == CrashVerdict.REFUSED) {
 *     // answer at once
 * }
 * }</pre>
 *
 * @since 0.6
 */
public final class CrashLedger {
    /** Ends from which on a request is refused: the users' platform takes three as proof. */
    public static final int REFUSAL_MIN_ENDS = 3;

    /** Ends from which on a request is refused although another one explains each end. */
    public static final int UNCONDITIONAL_REFUSAL_MIN_ENDS = 4;

    /** Time without an end after which a refused request is sent once more, in milliseconds. */
    public static final long RETRY_DELAY_MILLIS = 30_000;

    /**
     * Time for which the entry of an upstream that has ended may still be listed, in milliseconds:
     * three heartbeats of 1.2 s without a write, the delays of the store and of the hubs, and as
     * much again.
     */
    public static final long MAX_LISTED_MILLIS = 8_000;

    /** Highest number of recorded requests: about 500 bytes each, so 1 MB. */
    public static final int MAX_REQUESTS = 2_000;

    /** Time for which a request that is not refused stays recorded, in milliseconds. */
    static final long RETENTION_MILLIS = 600_000;

    /** Time for which a refused request stays recorded, in milliseconds: a day. */
    public static final long REFUSED_RETENTION_MILLIS = 86_400_000;

    private static final int SUSPECT_MIN_ENDS = REFUSAL_MIN_ENDS - 1;

    private static final Comparator<CrashHistory> MOST_ENDS_FIRST =
            Comparator.comparingInt(CrashHistory::evidence)
                    .thenComparingLong(CrashHistory::changedMillis)
                    .reversed();

    /** Ordered by the last change, oldest first. */
    private final Map<RequestTrait, CrashHistory> histories = new LinkedHashMap<>();

    private boolean suspects;

    /**
     * Records that an upstream ended just now while it had a request of this process.
     *
     * @param request the request
     * @param incarnation the upstream's incarnation, see {@link UpstreamEnd#incarnationOf}
     * @param sentMillis when the request was sent there, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return true if this end was not known
     */
    public boolean ended(RequestTrait request, long incarnation, long sentMillis, long nowMillis) {
        return ended(request, incarnation, sentMillis, nowMillis, nowMillis);
    }

    /**
     * Records that an upstream ended while it had a request of this process, possibly a moment ago.
     *
     * @param request the request
     * @param incarnation the upstream's incarnation, see {@link UpstreamEnd#incarnationOf}
     * @param sentMillis when the request was sent there, in milliseconds
     * @param atMillis when the request was there last, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return true if this end was not known
     */
    public boolean ended(
            RequestTrait request,
            long incarnation,
            long sentMillis,
            long atMillis,
            long nowMillis) {
        CrashHistory history = history(request);
        int earlierEnds = history.endCountOf(incarnation, sentMillis);
        UpstreamEnd end =
                new UpstreamEnd(incarnation, earlierEnds, atMillis, atMillis - sentMillis);
        return added(history, end, CrashHistory.OWN_SOURCE, nowMillis);
    }

    /**
     * Records that an upstream ended before it had begun to answer a request of this process, which
     * any part of its prompt may have caused.
     *
     * @param part the part
     * @param request the whole request
     * @param incarnation the upstream's incarnation, see {@link UpstreamEnd#incarnationOf}
     * @param sentMillis when the request was sent there, in milliseconds
     * @param atMillis when the request was there last, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return true if this end was not known
     */
    public boolean endedUnderPart(
            RequestTrait part,
            RequestTrait request,
            long incarnation,
            long sentMillis,
            long atMillis,
            long nowMillis) {
        CrashHistory history = history(part);
        UpstreamEnd end =
                new UpstreamEnd(
                        incarnation,
                        history.endCountOf(incarnation, sentMillis),
                        atMillis,
                        atMillis - sentMillis,
                        Long.hashCode(request.value()));
        return added(history, end, CrashHistory.OWN_SOURCE, nowMillis);
    }

    /**
     * Records that a request with a trait survived at an upstream: ends before do not count.
     *
     * @param trait the trait
     * @param atMillis when it survived, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return false if no end of it counted, or it had survived later
     */
    public boolean survived(RequestTrait trait, long atMillis, long nowMillis) {
        CrashHistory history = histories.get(trait);
        return history != null
                && history.endCount() > 0
                && history.clear(atMillis, CrashHistory.OWN_SOURCE, nowMillis);
    }

    /**
     * Returns whether a part of a prompt may be the cause of ends, so that a request under which an
     * upstream has just ended is not sent again.
     *
     * @param part the part
     * @return true if upstreams ended under two different requests with it, and nothing else is
     *     likelier to be the cause
     */
    public boolean isSuspected(RequestTrait part) {
        CrashHistory history = histories.get(part);
        return history != null
                && history.evidence() >= SUSPECT_MIN_ENDS
                && !isExplained(part, SUSPECT_MIN_ENDS);
    }

    /**
     * Records that a request ran completely, or that an operator declares it harmless: earlier ends
     * do not count.
     *
     * @param request the request
     * @param nowMillis the current time, in milliseconds
     * @return false if no end of it counted
     */
    public boolean cleared(RequestTrait request, long nowMillis) {
        return survived(request, nowMillis, nowMillis);
    }

    /**
     * Merges the report of a peer.
     *
     * @param peer the peer's name
     * @param report the report, with times of this process's clock
     * @param nowMillis the current time, in milliseconds
     * @return true if the report causes the request to be refused
     */
    public boolean received(String peer, CrashReport report, long nowMillis) {
        if (report.ends().isEmpty() && !histories.containsKey(report.request())) {
            return false;
        }
        CrashHistory history = history(report.request());
        boolean refusedBefore = history.evidence() >= REFUSAL_MIN_ENDS;
        if (report.clearedMillis() != CrashReport.NEVER) {
            history.clear(report.clearedMillis(), peer, nowMillis);
        }
        for (UpstreamEnd end : report.ends()) {
            added(history, end, peer, nowMillis);
        }
        return !refusedBefore && history.evidence() >= REFUSAL_MIN_ENDS;
    }

    private boolean added(CrashHistory history, UpstreamEnd end, String source, long nowMillis) {
        boolean added = history.add(end, source, nowMillis);
        suspects |= added && history.evidence() >= SUSPECT_MIN_ENDS;
        return added;
    }

    /**
     * Returns whether any request has almost enough ends to be refused, so that requests need to be
     * looked up.
     *
     * @return false if {@link #verdict} serves all requests
     */
    public boolean hasSuspects() {
        return suspects;
    }

    /**
     * Returns how a request is handled.
     *
     * @param request the request
     * @param nowMillis the current time, in milliseconds
     * @return the verdict; for {@link CrashVerdict#TRIED_AGAIN} the caller must call {@link
     *     #retried}
     */
    public CrashVerdict verdict(RequestTrait request, long nowMillis) {
        CrashHistory history = histories.get(request);
        if (history == null || history.evidence() < REFUSAL_MIN_ENDS) {
            return CrashVerdict.SERVED;
        }
        if (isExplained(request, REFUSAL_MIN_ENDS)) {
            return CrashVerdict.SERVED;
        }
        boolean few = history.endCount() < UNCONDITIONAL_REFUSAL_MIN_ENDS;
        return few && history.mayBeRetriedHere(nowMillis - RETRY_DELAY_MILLIS)
                ? CrashVerdict.TRIED_AGAIN
                : CrashVerdict.REFUSED;
    }

    /**
     * Records that a refused request is sent once more.
     *
     * @param request the request
     */
    public void retried(RequestTrait request) {
        history(request).retried();
    }

    /**
     * Stops counting the ends of upstreams that are still running, and removes old requests. To be
     * called about once a second.
     *
     * @param listed the incarnations of upstreams that are listed now
     * @param validSinceMillis since when the list has been valid without interruption, in
     *     milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void cleanUp(Set<Long> listed, long validSinceMillis, long nowMillis) {
        if (nowMillis - validSinceMillis >= MAX_LISTED_MILLIS) {
            long listedUntilMillis = nowMillis - MAX_LISTED_MILLIS;
            histories.values().forEach(history -> history.dismiss(listed, listedUntilMillis));
        }
        histories.values().removeIf(history -> isOld(history, nowMillis));
        updateSuspects();
    }

    /**
     * Records that an upstream was running at some time: ends recorded before were only ends of a
     * connection.
     *
     * @param incarnation the upstream's incarnation
     * @param atMillis the time, in milliseconds
     */
    public void observedAlive(long incarnation, long atMillis) {
        Set<Long> running = Set.of(incarnation);
        histories.values().forEach(history -> history.dismiss(running, atMillis));
        updateSuspects();
    }

    private void updateSuspects() {
        suspects =
                histories.values().stream()
                        .anyMatch(history -> history.evidence() >= SUSPECT_MIN_ENDS);
    }

    private static boolean isOld(CrashHistory history, long nowMillis) {
        boolean refused = history.evidence() >= REFUSAL_MIN_ENDS;
        long retentionMillis = refused ? REFUSED_RETENTION_MILLIS : RETENTION_MILLIS;
        return nowMillis - history.changedMillis() > retentionMillis;
    }

    /**
     * Returns the requests whose histories changed since a time.
     *
     * @param sinceMillis the time, in milliseconds
     * @param sources the sources of the changes; {@link CrashHistory#OWN_SOURCE} for this process
     * @return reports, those with the most ends first
     */
    public List<CrashReport> changedSince(long sinceMillis, Predicate<String> sources) {
        return reports(history -> history.hasChanged(sinceMillis, sources));
    }

    /**
     * Returns the requests that have enough ends to be refused, or one less.
     *
     * @return reports, those with the most ends first
     */
    public List<CrashReport> suspected() {
        return reports(history -> history.evidence() >= SUSPECT_MIN_ENDS);
    }

    /**
     * Returns the requests that have enough ends to be refused, including those explained by
     * others.
     *
     * @return reports, those with the most ends first
     */
    public List<CrashReport> refused() {
        return reports(history -> history.evidence() >= REFUSAL_MIN_ENDS);
    }

    /**
     * Returns what is refused for ends that nothing else is likelier to have caused.
     *
     * @return reports, those with the most ends first
     */
    public List<CrashReport> refusedAsCause() {
        return refused().stream()
                .filter(report -> !isExplained(report.request(), REFUSAL_MIN_ENDS))
                .toList();
    }

    private boolean isExplained(RequestTrait trait, int minEnds) {
        boolean unconditional =
                !trait.isPart()
                        && histories.get(trait).endCount() >= UNCONDITIONAL_REFUSAL_MIN_ENDS;
        return !unconditional && CrashAttribution.isExplainedByOthers(trait, histories, minEnds);
    }

    private List<CrashReport> reports(Predicate<CrashHistory> filter) {
        List<Map.Entry<RequestTrait, CrashHistory>> entries = new ArrayList<>();
        for (Map.Entry<RequestTrait, CrashHistory> entry : histories.entrySet()) {
            if (filter.test(entry.getValue())) {
                entries.add(entry);
            }
        }
        entries.sort(Map.Entry.comparingByValue(MOST_ENDS_FIRST));
        return entries.stream().map(entry -> entry.getValue().report(entry.getKey())).toList();
    }

    /**
     * Returns the ends of a request that count.
     *
     * @param request the request
     * @return the ends with their sources; empty if there are none
     */
    public List<CrashHistory.CountedEnd> countedEnds(RequestTrait request) {
        CrashHistory history = histories.get(request);
        return history == null ? List.of() : history.countedEnds();
    }

    /**
     * Returns whether no request is recorded.
     *
     * @return true if there is nothing to report or to clean up
     */
    public boolean isEmpty() {
        return histories.isEmpty();
    }

    /**
     * Returns how many requests are recorded.
     *
     * @return a count of at most {@value #MAX_REQUESTS}
     */
    public int size() {
        return histories.size();
    }

    /**
     * Returns the history of a request that is about to change, and makes it the most recently
     * changed one.
     */
    private CrashHistory history(RequestTrait request) {
        CrashHistory known = histories.remove(request);
        if (known == null && histories.size() >= MAX_REQUESTS) {
            evictOne();
        }
        CrashHistory history = known == null ? new CrashHistory(request.isPart()) : known;
        histories.put(request, history);
        return history;
    }

    /**
     * Removes the request that has not changed for longest; those that are almost refused are
     * removed last.
     */
    private void evictOne() {
        Iterator<CrashHistory> oldestFirst = histories.values().iterator();
        while (oldestFirst.hasNext()) {
            if (oldestFirst.next().evidence() < SUSPECT_MIN_ENDS) {
                oldestFirst.remove();
                return;
            }
        }
        histories.remove(histories.keySet().iterator().next());
    }
}
