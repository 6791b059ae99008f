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
package io.trailladder.cli.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Counts the arrivals at upstreams beyond the first of each request, and the requests that callers
 * sent, over windows of the retry budget.
 */
final class RetryCheck {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.2;

    private final double allowance;
    private final Map<String, Integer> arrivals = new HashMap<>();
    private final NavigableMap<Long, Integer> requests = new TreeMap<>();
    private final NavigableMap<Long, Integer> retries = new TreeMap<>();

    /**
     * Creates a check of unused budgets.
     *
     * @param allowance retries in each window beyond the ratio, of all services together
     */
    RetryCheck(double allowance) {
        this.allowance = allowance;
    }

    /** Counts a request that a caller sends. */
    synchronized void sent() {
        requests.merge(nowMillis(), 1, Integer::sum);
    }

    /** Counts a request that arrives at an upstream. */
    synchronized void arrived(String attempt) {
        if (arrivals.merge(attempt, 1, Integer::sum) > 1) {
            retries.merge(nowMillis(), 1, Integer::sum);
        }
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Returns the retries of the fullest window, as a share of those that its requests, or those of
     * a window before it, and the allowance permit.
     */
    synchronized double fullestWindowShare() {
        double fullest = 0;
        for (long end : retries.keySet()) {
            int earned =
                    Math.max(
                            sum(requests, end),
                            Math.max(
                                    sum(requests, end - WINDOW_MILLIS),
                                    sum(requests, end - WINDOW_MILLIS / 2)));
            fullest = Math.max(fullest, sum(retries, end) / (RATIO * earned + allowance));
        }
        return fullest;
    }

    /** Returns the number of arrivals beyond the first of their request. */
    synchronized int retries() {
        return sum(retries, Long.MAX_VALUE, Long.MIN_VALUE);
    }

    private static int sum(NavigableMap<Long, Integer> counts, long end) {
        return sum(counts, end, end - WINDOW_MILLIS);
    }

    private static int sum(NavigableMap<Long, Integer> counts, long end, long start) {
        return counts.subMap(start, false, end, true).values().stream()
                .mapToInt(count -> count)
                .sum();
    }
}
