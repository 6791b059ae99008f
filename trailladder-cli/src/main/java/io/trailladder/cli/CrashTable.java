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

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Sums up under which requests upstreams ended, over all their tries and all processes. */
final class CrashTable {
    private static final String KIND = "UpstreamEnded";

    private final Map<String, Sum> sums = new HashMap<>();
    private final Map<String, Set<String>> requestsAt = new HashMap<>();

    /** What is known of one request. */
    private static final class Sum {
        final Set<String> upstreams = new HashSet<>();
        final Set<String> processes = new HashSet<>();
        final Set<String> tries = new HashSet<>();
        Instant first = Instant.MAX;
        Instant last = Instant.MIN;
    }

    /**
     * One row.
     *
     * @param request the request, the same at all its tries
     * @param upstreams how many upstreams ended under it
     * @param alone at how many of them no other request was seen to break
     * @param tries how many of its tries that took
     * @param processes how many processes sent these
     * @param first when the first upstream ended
     * @param lasted time from the first to the last of them
     */
    record Row(
            String request,
            int upstreams,
            int alone,
            int tries,
            int processes,
            Instant first,
            Duration lasted) {}

    /**
     * Takes a line over.
     *
     * @param line a decision; kinds other than {@code UpstreamEnded} are passed over
     */
    void add(DecisionLine line) {
        if (!line.kind().equals(KIND)) {
            return;
        }
        String request = line.text("request");
        Sum sum = sums.computeIfAbsent(request, name -> new Sum());
        sum.upstreams.add(line.text("upstream"));
        sum.processes.add(processName(line.source()));
        sum.tries.add(line.text("id"));
        sum.first = line.time().isBefore(sum.first) ? line.time() : sum.first;
        sum.last = line.time().isAfter(sum.last) ? line.time() : sum.last;
        requestsAt.computeIfAbsent(line.text("upstream"), name -> new HashSet<>()).add(request);
    }

    /** A log's collector may write the time before the process's name. */
    private static String processName(String source) {
        return source.substring(source.lastIndexOf(' ') + 1);
    }

    /**
     * Returns the rows, those under which most upstreams ended first.
     *
     * @return the rows
     */
    List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        sums.forEach((request, sum) -> rows.add(row(request, sum)));
        rows.sort(Comparator.comparingInt((Row row) -> -row.upstreams()).thenComparing(Row::first));
        return rows;
    }

    private Row row(String request, Sum sum) {
        int alone = 0;
        for (String upstream : sum.upstreams) {
            alone += requestsAt.get(upstream).size() == 1 ? 1 : 0;
        }
        return new Row(
                request,
                sum.upstreams.size(),
                alone,
                sum.tries.size(),
                sum.processes.size(),
                sum.first,
                Duration.between(sum.first, sum.last));
    }
}
