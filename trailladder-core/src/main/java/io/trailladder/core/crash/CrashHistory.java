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
    public static final int MOST_ENDS = 8;

    /** The source of what this process saw itself. */
    public static final String OWN = "";

    private final Map<UpstreamEnd.Key, Sight> sights = new LinkedHashMap<>();
    private long clearedMillis = CrashReport.NEVER;
    private String clearedBy = OWN;
    private long clearHeardMillis;
    private boolean triedAgain;

    /** One end, and how this process knows of it. */
    private static final class Sight {
        UpstreamEnd end;
        final String source;
        final long heardMillis;
        boolean dismissed;

        Sight(UpstreamEnd end, String source, long heardMillis) {
            this.end = end;
            this.source = source;
            this.heardMillis = heardMillis;
        }
    }

    /**
     * One end that counts, for those who ask why a request is refused.
     *
     * @param end the end
     * @param source the process that told it; empty if this one saw it
     */
    public record Known(UpstreamEnd end, String source) {}

    /** Records an end; returns false if it was known, or so many are kept that count. */
    boolean add(UpstreamEnd end, String source, long nowMillis) {
        Sight known = sights.get(end.key());
        if (known != null) {
            // the earliest of several sights is the end itself, wherever it was seen
            known.end = known.end.atMillis() <= end.atMillis() ? known.end : end;
            return false;
        }
        if (ends() >= MOST_ENDS) {
            return false;
        }
        if (sights.size() >= MOST_ENDS) {
            sights.values().stream()
                    .filter(sight -> !counts(sight))
                    .findFirst()
                    .ifPresent(sight -> sights.remove(sight.end.key()));
        }
        sights.put(end.key(), new Sight(end, source, nowMillis));
        return true;
    }

    /** Returns how many ends of an upstream's life were seen up to a time, counting or not. */
    int endsOf(long upstream, long untilMillis) {
        int count = 0;
        for (Sight sight : sights.values()) {
            UpstreamEnd end = sight.end;
            count += end.upstream() == upstream && end.atMillis() <= untilMillis ? 1 : 0;
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
        clearHeardMillis = nowMillis;
        triedAgain = false;
        return true;
    }

    /** Has ends not count whose upstreams turn out to live on. */
    void dismiss(Set<Long> living, long endedBeforeMillis) {
        for (Sight sight : sights.values()) {
            if (sight.end.atMillis() <= endedBeforeMillis
                    && living.contains(sight.end.upstream())) {
                sight.dismissed = true;
            }
        }
    }

    /** Returns the ends that count. */
    List<Known> known() {
        List<Known> known = new ArrayList<>(sights.size());
        for (Sight sight : sights.values()) {
            if (counts(sight)) {
                known.add(new Known(sight.end, sight.source));
            }
        }
        return known;
    }

    private boolean counts(Sight sight) {
        return !sight.dismissed && sight.end.atMillis() > clearedMillis;
    }

    /** Returns how many ends count. */
    int ends() {
        int count = 0;
        for (Sight sight : sights.values()) {
            count += counts(sight) ? 1 : 0;
        }
        return count;
    }

    /** Returns how long the request had run at all the upstreams that ended, in milliseconds. */
    long ranMillis() {
        return known().stream().mapToLong(known -> known.end().ranMillis()).sum();
    }

    /** Returns when the last thing became known, in milliseconds. */
    long changedMillis() {
        long last = clearHeardMillis;
        for (Sight sight : sights.values()) {
            last = Math.max(last, sight.heardMillis);
        }
        return last;
    }

    /**
     * Tells whether this process, and no other, may find out if the request is harmless: the one
     * that saw the end of the first upstream by name, which is one alone where all know the same.
     */
    boolean mayBeTriedHere(long restedSinceMillis) {
        if (triedAgain) {
            return false;
        }
        Known first = null;
        for (Known known : known()) {
            if (known.end().atMillis() > restedSinceMillis) {
                return false;
            }
            if (first == null || known.end().upstream() < first.end().upstream()) {
                first = known;
            }
        }
        return first != null && first.source().equals(OWN);
    }

    void triedAgain() {
        triedAgain = true;
    }

    /** Tells whether something of it became known since a time, from certain sources. */
    boolean hasNews(long sinceMillis, Predicate<String> sources) {
        if (clearHeardMillis >= sinceMillis
                && clearedMillis != CrashReport.NEVER
                && sources.test(clearedBy)) {
            return true;
        }
        return sights.values().stream()
                .anyMatch(s -> s.heardMillis >= sinceMillis && sources.test(s.source));
    }

    CrashReport report(RequestFingerprint request) {
        List<UpstreamEnd> ends =
                sights.values().stream().filter(s -> !s.dismissed).map(s -> s.end).toList();
        return new CrashReport(request, clearedMillis, ends);
    }
}
