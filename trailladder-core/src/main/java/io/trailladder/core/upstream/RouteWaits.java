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

/**
 * The longest time that callers of each route wait. A caller that retries says how much of it is
 * left, so that its deadline tells when it first called, whichever process it calls.
 */
final class RouteWaits {
    /** How long a longest wait is told to other processes, in milliseconds: several digests. */
    private static final long NEWS_MILLIS = 800;

    /** The longest wait of a route where some callers wait so long that none can be dated. */
    private static final long UNDATABLE_MILLIS = StreamVersions.MAX_AGE_MILLIS + 1;

    private final Map<String, Wait> waits = new HashMap<>();
    private long toldAllMillis = Long.MIN_VALUE / 2;

    /**
     * The longest wait of a route.
     *
     * @param longestMillis the longest wait that is known
     * @param shorterMillis the longest wait that was known before {@code sinceMillis}
     * @param sinceMillis when the longest wait became known
     */
    private record Wait(long longestMillis, long shorterMillis, long sinceMillis) {}

    /** When a caller may have called first, in milliseconds. */
    record FirstCall(long earliestMillis, long latestMillis) {}

    /** Records how long the caller of a new stream waits, in milliseconds. */
    void requested(String route, long callerWaitMillis, long nowMillis) {
        long waitMillis = Math.min(UNDATABLE_MILLIS, callerWaitMillis);
        Wait known = waits.get(route);
        if (known == null) {
            waits.put(route, new Wait(waitMillis, waitMillis, nowMillis));
        } else if (waitMillis > known.longestMillis()) {
            waits.put(route, new Wait(waitMillis, shorterMillis(known, nowMillis), nowMillis));
        }
    }

    private static long shorterMillis(Wait wait, long nowMillis) {
        boolean recent = nowMillis - wait.sinceMillis() < StreamVersions.MAX_AGE_MILLIS;
        return recent ? wait.shorterMillis() : wait.longestMillis();
    }

    /** Records the longest waits that another process knew. */
    void recordedBefore(Map<String, Long> longest) {
        longest.forEach(
                (route, millis) ->
                        waits.merge(
                                route,
                                new Wait(millis, millis, Long.MIN_VALUE / 2),
                                (own, other) ->
                                        own.longestMillis() > other.longestMillis() ? own : other));
    }

    /** Tells all longest waits once more, since a process may have started. */
    void tellAll(long nowMillis) {
        toldAllMillis = nowMillis;
    }

    /** Returns the longest waits that became known lately. */
    Map<String, Long> news(long nowMillis) {
        Map<String, Long> news = new HashMap<>();
        waits.forEach(
                (route, wait) -> {
                    if (nowMillis - Math.max(wait.sinceMillis(), toldAllMillis) <= NEWS_MILLIS) {
                        news.put(route, wait.longestMillis());
                    }
                });
        return news;
    }

    Map<String, Long> longest() {
        Map<String, Long> longest = new HashMap<>();
        waits.forEach((route, wait) -> longest.put(route, wait.longestMillis()));
        return longest;
    }

    /**
     * Returns when the caller of a new stream first called, at the latest now. All processes that
     * know the same longest wait compute the same time.
     */
    long firstCallMillis(StreamCall call, long nowMillis) {
        Wait wait = waits.get(call.route());
        if (!isDatable(wait, call)) {
            return nowMillis;
        }
        long firstMillis = call.deadlineMillis() - wait.longestMillis();
        return Math.max(
                nowMillis - StreamVersions.MAX_AGE_MILLIS, Math.min(nowMillis, firstMillis));
    }

    private static boolean isDatable(Wait wait, StreamCall call) {
        return wait != null && wait.longestMillis() < UNDATABLE_MILLIS && call.hasDeadline();
    }

    /** Returns when the caller of a stream that it resumes may have called first. */
    FirstCall firstCall(StreamCall call, long nowMillis) {
        long oldestMillis = nowMillis - StreamVersions.MAX_AGE_MILLIS;
        Wait wait = waits.get(call.route());
        if (!isDatable(wait, call)) {
            return new FirstCall(oldestMillis, nowMillis);
        }
        long earliest = call.deadlineMillis() - wait.longestMillis();
        long latest = call.deadlineMillis() - shorterMillis(wait, nowMillis);
        return new FirstCall(
                Math.max(oldestMillis, Math.min(nowMillis, earliest)),
                Math.max(oldestMillis, Math.min(nowMillis, latest)));
    }
}
