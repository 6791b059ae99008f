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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What is known of the upstreams that ended under one request. */
public final class CrashHistory {
    /** Most ends that are kept of one request: twice as many as have it refused for good. */
    public static final int MAX_ENDS = 8;

    /** The source of what this process saw itself. */
    public static final String OWN_SOURCE = "";

    private final Map<UpstreamEnd.Key, RecordedEnd> recordedEnds = new LinkedHashMap<>();
    private long clearedMillis = CrashReport.NEVER;
    private String clearedBy = OWN_SOURCE;
    private long clearReceivedMillis;
    private boolean retried;

    /** One end, and how this process knows of it. */
    private static final class RecordedEnd {
        UpstreamEnd end;
        final String source;
        final long receivedMillis;
        boolean dismissed;

        RecordedEnd(UpstreamEnd end, String source, long heardMillis) {
            this.end = end;
            this.source = source;
            this.receivedMillis = heardMillis;
        }
    }

    /**
     * One end that counts, for those who ask why a request is refused.
     *
     * @param end the end
     * @param source the process that told it; empty if this one saw it
     */
    public record CountedEnd(UpstreamEnd end, String source) {}

    /** Records an end; returns false if it was known, or so many are kept that count. */
    boolean add(UpstreamEnd end, String source, long nowMillis) {
        RecordedEnd known = recordedEnds.get(end.key());
        if (known != null) {
            // the earliest of several sights is the end itself, wherever it was seen
            known.end = known.end.atMillis() <= end.atMillis() ? known.end : end;
            return false;
        }
        if (endCount() >= MAX_ENDS) {
            return false;
        }
        if (recordedEnds.size() >= MAX_ENDS) {
            recordedEnds.values().stream()
                    .filter(sight -> !counts(sight))
                    .findFirst()
                    .ifPresent(sight -> recordedEnds.remove(sight.end.key()));
        }
        recordedEnds.put(end.key(), new RecordedEnd(end, source, nowMillis));
        return true;
    }

    /** Returns how many ends of an upstream's life were seen up to a time, counting or not. */
    int endCountOf(long upstream, long untilMillis) {
        int count = 0;
        for (RecordedEnd sight : recordedEnds.values()) {
            UpstreamEnd end = sight.end;
            count += end.incarnation() == upstream && end.atMillis() <= untilMillis ? 1 : 0;
        }
        return count;
    }

    /**
     * Has the ends up to a time not count; returns false if that was known. Their names are kept: a
     * peer that tells one of them again, by its own clock, does not bring it back.
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

    /** Has ends not count whose upstreams turn out to live on. */
    void dismiss(Set<Long> living, long endedBeforeMillis) {
        for (RecordedEnd sight : recordedEnds.values()) {
            if (sight.end.atMillis() <= endedBeforeMillis
                    && living.contains(sight.end.incarnation())) {
                sight.dismissed = true;
            }
        }
    }

    /** Returns the ends that count. */
    List<CountedEnd> countedEnds() {
        List<CountedEnd> known = new ArrayList<>(recordedEnds.size());
        for (RecordedEnd sight : recordedEnds.values()) {
            if (counts(sight)) {
                known.add(new CountedEnd(sight.end, sight.source));
            }
        }
        return known;
    }

    private boolean counts(RecordedEnd sight) {
        return !sight.dismissed && sight.end.atMillis() > clearedMillis;
    }

    /** Returns how many ends count. */
    int endCount() {
        int count = 0;
        for (RecordedEnd sight : recordedEnds.values()) {
            count += counts(sight) ? 1 : 0;
        }
        return count;
    }

    /** Returns how long the request had run at all the upstreams that ended, in milliseconds. */
    long ranMillis() {
        return countedEnds().stream().mapToLong(known -> known.end().ranMillis()).sum();
    }

    /** Returns when the last thing became known, in milliseconds. */
    long changedMillis() {
        long last = clearReceivedMillis;
        for (RecordedEnd sight : recordedEnds.values()) {
            last = Math.max(last, sight.receivedMillis);
        }
        return last;
    }

    /**
     * Tells whether this process, and no other, may find out if the request is harmless: the one
     * that saw the end of the first upstream by name, which is one alone where all know the same.
     */
    boolean mayBeRetriedHere(long restedSinceMillis) {
        if (retried) {
            return false;
        }
        CountedEnd first = null;
        for (CountedEnd known : countedEnds()) {
            if (known.end().atMillis() > restedSinceMillis) {
                return false;
            }
            if (first == null || known.end().incarnation() < first.end().incarnation()) {
                first = known;
            }
        }
        return first != null && first.source().equals(OWN_SOURCE);
    }

    void retried() {
        retried = true;
    }

    /** Tells whether something of it became known since a time, from certain sources. */
    boolean hasChanged(long sinceMillis, Predicate<String> sources) {
        if (clearReceivedMillis >= sinceMillis
                && clearedMillis != CrashReport.NEVER
                && sources.test(clearedBy)) {
            return true;
        }
        return recordedEnds.values().stream()
                .anyMatch(s -> s.receivedMillis >= sinceMillis && sources.test(s.source));
    }

    CrashReport report(RequestFingerprint request) {
        List<UpstreamEnd> ends =
                recordedEnds.values().stream().filter(s -> !s.dismissed).map(s -> s.end).toList();
        return new CrashReport(request, clearedMillis, ends);
    }
}
