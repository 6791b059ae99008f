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

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counts the upstreams that ended while running a request, over all tries and all processes. */
final class CrashTable {
    private static final String KIND = "UpstreamEnded";

    private final Map<String, Sum> sums = new HashMap<>();
    private final Map<String, Set<String>> requestsAt = new HashMap<>();

    /** What the log lines state about one request. */
    private static final class Sum {
        final Set<String> upstreams = new HashSet<>();
        final Set<String> processes = new HashSet<>();
        final Set<String> tries = new HashSet<>();
        Instant first = Instant.MAX;
        Instant last = Instant.MIN;
    }

    /**
     * One row: one request, or all requests with one part of a prompt.
     *
     * @param request the request's fingerprint, the same for all its tries; of a part its hash and
     *     position
     * @param upstreams the number of upstreams that ended while running it
     * @param alone the number of these upstreams at which no other request broke
     * @param tries the number of its tries under which upstreams ended
     * @param processes the number of processes that sent these tries
     * @param first when the first upstream ended
     * @param lasted the time from the first to the last end
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
     * Adds a log line.
     *
     * @param line a decision; kinds other than {@code UpstreamEnded} are ignored
     */
    void add(DecisionLine line) {
        if (!line.kind().equals(KIND)) {
            return;
        }
        addTo(line.text("request"), line);
        for (JsonNode part : line.fields().path("parts")) {
            addTo(part.asText(), line);
        }
        requestsAt
                .computeIfAbsent(line.text("upstream"), name -> new HashSet<>())
                .add(line.text("request"));
    }

    private void addTo(String request, DecisionLine line) {
        Sum sum = sums.computeIfAbsent(request, name -> new Sum());
        sum.upstreams.add(line.text("upstream"));
        sum.processes.add(processName(line.source()));
        sum.tries.add(line.text("id"));
        sum.first = line.time().isBefore(sum.first) ? line.time() : sum.first;
        sum.last = line.time().isAfter(sum.last) ? line.time() : sum.last;
    }

    /** Returns the last word of the source, as log collectors may prefix the name with a time. */
    private static String processName(String source) {
        return source.substring(source.lastIndexOf(' ') + 1);
    }

    /**
     * Returns the rows, those with the most ended upstreams first.
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
