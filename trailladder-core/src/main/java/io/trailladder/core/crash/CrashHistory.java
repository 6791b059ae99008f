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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The ends of upstreams at which a request with one trait was in progress: one request, or all
 * requests with one part of a prompt.
 */
public final class CrashHistory {
    /**
     * Highest number of ends recorded of one request: twice as many as have it refused
     * unconditionally.
     */
    public static final int MAX_ENDS = 8;

    /** Source of what this process observed itself. */
    public static final String OWN_SOURCE = "";

    /**
     * Time before its first end within which a trait must have survived at an upstream to be less
     * likely as the cause than one that has not, in milliseconds.
     */
    static final long SURVIVAL_MILLIS = 60_000;

    private final boolean part;
    private final Map<UpstreamEnd.Key, RecordedEnd> recordedEnds = new LinkedHashMap<>();
    private long clearedMillis = CrashReport.NEVER;
    private String clearedBy = OWN_SOURCE;
    private long clearReceivedMillis;
    private boolean retried;

    CrashHistory(boolean part) {
        this.part = part;
    }

    /** One end with its source. */
    private static final class RecordedEnd {
        UpstreamEnd end;
        final String source;
        final long receivedMillis;
        boolean dismissed;

        RecordedEnd(UpstreamEnd end, String source, long receivedMillis) {
            this.end = end;
            this.source = source;
            this.receivedMillis = receivedMillis;
        }
    }

    /**
     * One end that counts, to explain why a request is refused.
     *
     * @param end the end
     * @param source the process that reported it; empty if this process observed it
     */
    public record CountedEnd(UpstreamEnd end, String source) {}

    /**
     * Records an end.
     *
     * @return false if it was known, or if {@link #MAX_ENDS} ends that count are already recorded
     */
    boolean add(UpstreamEnd end, String source, long nowMillis) {
        RecordedEnd recorded = recordedEnds.get(end.key());
        if (recorded != null) {
            // the earliest of several observations is closest to the end itself
            recorded.end = recorded.end.atMillis() <= end.atMillis() ? recorded.end : end;
            return false;
        }
        if (endCount() >= MAX_ENDS) {
            return false;
        }
        if (recordedEnds.size() >= MAX_ENDS) {
            recordedEnds.values().stream()
                    .filter(recordedEnd -> !counts(recordedEnd))
                    .findFirst()
                    .ifPresent(recordedEnd -> recordedEnds.remove(recordedEnd.end.key()));
        }
        recordedEnds.put(end.key(), new RecordedEnd(end, source, nowMillis));
        return true;
    }

    /**
     * Returns how many ends of an incarnation were observed up to a time, including those that do
     * not count.
     */
    int endCountOf(long upstream, long untilMillis) {
        int count = 0;
        for (RecordedEnd recordedEnd : recordedEnds.values()) {
            UpstreamEnd end = recordedEnd.end;
            count += end.incarnation() == upstream && end.atMillis() <= untilMillis ? 1 : 0;
        }
        return count;
    }

    /**
     * Stops counting the ends up to a time. They stay recorded: a peer that reports one of them
     * again, with the time of its own clock, does not make it count again.
     *
     * @return false if this time or a later one was known
     */
    boolean clear(long atMillis, String source, long nowMillis) {
        if (atMillis <= clearedMillis) {
            return false;
        }
        clearedMillis = atMillis;
        clearedBy = source;
        clearReceivedMillis = nowMillis;
        retried = false;
        return true;
    }

    /** Stops counting the ends of incarnations that are still running. */
    void dismiss(Set<Long> running, long endedBeforeMillis) {
        for (RecordedEnd recordedEnd : recordedEnds.values()) {
            if (recordedEnd.end.atMillis() <= endedBeforeMillis
                    && running.contains(recordedEnd.end.incarnation())) {
                recordedEnd.dismissed = true;
            }
        }
    }

    /** Returns the ends that count. */
    List<CountedEnd> countedEnds() {
        List<CountedEnd> counted = new ArrayList<>(recordedEnds.size());
        for (RecordedEnd recordedEnd : recordedEnds.values()) {
            if (counts(recordedEnd)) {
                counted.add(new CountedEnd(recordedEnd.end, recordedEnd.source));
            }
        }
        return counted;
    }

    private boolean counts(RecordedEnd recordedEnd) {
        return !recordedEnd.dismissed && recordedEnd.end.atMillis() > clearedMillis;
    }

    /** Returns how many ends count. */
    int endCount() {
        int count = 0;
        for (RecordedEnd recordedEnd : recordedEnds.values()) {
            count += counts(recordedEnd) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the strength of the evidence against the trait: of a whole request the number of its
     * ends, of a part the number of different requests that had it at one. One request that stood
     * at several ends shows nothing about its parts.
     */
    int evidence() {
        return evidenceWithout(Set.of());
    }

    /** Returns the strength of the evidence without the ends of some incarnations. */
    int evidenceWithout(Set<Long> explained) {
        int ends = 0;
        Set<Integer> requests = new HashSet<>();
        for (RecordedEnd recordedEnd : recordedEnds.values()) {
            if (counts(recordedEnd) && !explained.contains(recordedEnd.end.incarnation())) {
                ends++;
                requests.add(recordedEnd.end.request());
            }
        }
        return part ? requests.size() : ends;
    }

    /** Returns whether a request with the trait survived at an upstream shortly before the ends. */
    boolean hasSurvivedBefore() {
        long firstMillis = Long.MAX_VALUE;
        for (RecordedEnd recordedEnd : recordedEnds.values()) {
            if (counts(recordedEnd)) {
                firstMillis = Math.min(firstMillis, recordedEnd.end.atMillis());
            }
        }
        return clearedMillis != CrashReport.NEVER && firstMillis - clearedMillis <= SURVIVAL_MILLIS;
    }

    /** Returns the total time that the request ran at the upstreams that ended, in milliseconds. */
    long ranMillis() {
        return countedEnds().stream().mapToLong(counted -> counted.end().ranMillis()).sum();
    }

    /** Returns when the history last changed, in milliseconds. */
    long changedMillis() {
        long last = clearReceivedMillis;
        for (RecordedEnd recordedEnd : recordedEnds.values()) {
            last = Math.max(last, recordedEnd.receivedMillis);
        }
        return last;
    }

    /**
     * Returns whether this process may send the request once more to find out whether it is
     * harmless. Only the process that observed the end with the lowest incarnation may, which is a
     * single one where all processes know the same ends.
     *
     * @param noEndSinceMillis the time after which no end may lie
     */
    boolean mayBeRetriedHere(long noEndSinceMillis) {
        if (retried) {
            return false;
        }
        CountedEnd first = null;
        for (CountedEnd counted : countedEnds()) {
            if (counted.end().atMillis() > noEndSinceMillis) {
                return false;
            }
            if (first == null || counted.end().incarnation() < first.end().incarnation()) {
                first = counted;
            }
        }
        return first != null && first.source().equals(OWN_SOURCE);
    }

    void retried() {
        retried = true;
    }

    /** Returns whether the history changed since a time through one of certain sources. */
    boolean hasChanged(long sinceMillis, Predicate<String> sources) {
        if (clearReceivedMillis >= sinceMillis
                && clearedMillis != CrashReport.NEVER
                && sources.test(clearedBy)) {
            return true;
        }
        return recordedEnds.values().stream()
                .anyMatch(
                        recordedEnd ->
                                recordedEnd.receivedMillis >= sinceMillis
                                        && sources.test(recordedEnd.source));
    }

    CrashReport report(RequestTrait request) {
        List<UpstreamEnd> ends =
                recordedEnds.values().stream()
                        .filter(recordedEnd -> !recordedEnd.dismissed)
                        .map(recordedEnd -> recordedEnd.end)
                        .toList();
        return new CrashReport(request, clearedMillis, ends);
    }
}
