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
package io.trailladder.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Sums up how the processes used the retry budgets of services, from {@code RetryUse} lines, and
 * finds the window of each service with the most retries.
 */
final class RetryTable {
    private final long windowSeconds;
    private final Map<String, NavigableMap<Long, Sums>> services = new TreeMap<>();

    /** The sums of one service over one or more seconds. */
    private static final class Sums {
        private long requests;
        private long sentAgain;
        private long allowed;
        private long refused;
        private final Set<String> processes = new HashSet<>();

        void add(Sums other) {
            requests += other.requests;
            sentAgain += other.sentAgain;
            allowed += other.allowed;
            refused += other.refused;
            processes.addAll(other.processes);
        }
    }

    /**
     * The fullest window of one service.
     *
     * @param service the service
     * @param fromEpochSecond its first second, since 1970
     * @param requests requests in seconds with retries
     * @param sentAgain attempts beyond the first of their request
     * @param allowed retries that the budget allowed
     * @param refused retries that it did not
     * @param processes number of processes
     */
    record Row(
            String service,
            long fromEpochSecond,
            long requests,
            long sentAgain,
            long allowed,
            long refused,
            int processes) {}

    /**
     * Creates a table.
     *
     * @param windowSeconds length of the windows, in seconds
     */
    RetryTable(long windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    /**
     * Adds a log line.
     *
     * @param line a decision; kinds other than {@code RetryUse} are ignored
     */
    void add(DecisionLine line) {
        if (!line.kind().equals("RetryUse")) {
            return;
        }
        long epochSecond = line.time().minusMillis(line.number("forMs")).getEpochSecond();
        Sums second =
                services.computeIfAbsent(line.text("service"), name -> new TreeMap<>())
                        .computeIfAbsent(epochSecond, at -> new Sums());
        second.requests += line.number("requests");
        second.sentAgain += line.number("sentAgain");
        second.allowed += line.number("allowed");
        second.refused += line.number("refused");
        second.processes.add(line.source());
    }

    /**
     * Returns the window with the most retries of each service, those with the most first.
     *
     * @return one row for each service
     */
    List<Row> fullestWindows() {
        List<Row> rows = new ArrayList<>();
        services.forEach((service, seconds) -> rows.add(fullestWindow(service, seconds)));
        rows.sort(Comparator.comparingLong(row -> -row.sentAgain()));
        return rows;
    }

    private Row fullestWindow(String service, NavigableMap<Long, Sums> seconds) {
        Sums fullest = new Sums();
        long from = seconds.firstKey();
        for (long start : seconds.keySet()) {
            Sums sum = new Sums();
            seconds.subMap(start, start + windowSeconds).values().forEach(sum::add);
            if (sum.sentAgain >= fullest.sentAgain) {
                fullest = sum;
                from = start;
            }
        }
        return new Row(
                service,
                from,
                fullest.requests,
                fullest.sentAgain,
                fullest.allowed,
                fullest.refused,
                fullest.processes.size());
    }
}
