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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums up which requests were not served, or were late, by what they have in common.
 *
 * <p>A request counts once for each attempt that a caller made, as gateways know no others.
 */
final class LossTable {
    /** By what requests are summed up. */
    enum Dimension {
        /** What became of the request. */
        CAUSE,
        /** The route. */
        ROUTE,
        /** Whose it was. */
        ORGANISATION,
        /** The last upstream it was sent to. */
        UPSTREAM,
        /** The second it was taken, from the first line of the logs. */
        SECOND
    }

    private static final int OK_BELOW = 400;
    private static final String NONE = "-";

    private final Map<String, Request> requests = new LinkedHashMap<>();
    private Instant begin;

    /** What the lines tell of one request. */
    private static final class Request {
        private final Instant taken;
        private String route = NONE;
        private String organisation = NONE;
        private String upstream = NONE;
        private String cause = "no end in the logs";
        private String failure = "";
        private long objectiveMillis;
        private boolean late;
        private boolean served;

        Request(Instant taken) {
            this.taken = taken;
        }
    }

    /**
     * One row: requests that have a value in common.
     *
     * @param value the value
     * @param requests how many there were
     * @param unserved how many of them were not served
     * @param late how many of them were served late
     */
    record Row(String value, int requests, int unserved, int late) {
        private Row plus(Row other) {
            return new Row(
                    value, requests + other.requests, unserved + other.unserved, late + other.late);
        }
    }

    /**
     * Takes a line over.
     *
     * @param line a decision; kinds that tell nothing of a request are passed over
     */
    void add(DecisionLine line) {
        if (begin == null || line.time().isBefore(begin)) {
            begin = line.time();
        }
        switch (line.kind()) {
            case "Intake" -> taken(line);
            case "Dispatch" -> request(line).upstream = line.text("worker");
            case "AttemptFailed" -> request(line).failure = line.text("failure");
            case "Ended" -> ended(line);
            default -> {
                // says nothing of a request
            }
        }
    }

    /**
     * Returns the rows of a table, those with the most losses first; seconds in order.
     *
     * @param dimension by what requests are summed up
     * @return the rows
     */
    List<Row> rows(Dimension dimension) {
        Map<String, Row> rows = new TreeMap<>();
        for (Request request : requests.values()) {
            String value = value(request, dimension);
            int unserved = request.served ? 0 : 1;
            rows.merge(value, new Row(value, 1, unserved, request.late ? 1 : 0), Row::plus);
        }
        List<Row> sorted = new ArrayList<>(rows.values());
        if (dimension == Dimension.SECOND) {
            sorted.sort(Comparator.comparingLong(row -> Long.parseLong(row.value())));
        } else {
            sorted.sort(Comparator.comparingInt(row -> -row.unserved() - row.late()));
        }
        return sorted;
    }

    /**
     * Returns the sum over all requests.
     *
     * @return one row
     */
    Row total() {
        Row total = new Row("all", 0, 0, 0);
        for (Row row : rows(Dimension.CAUSE)) {
            total = total.plus(row);
        }
        return total;
    }

    private Request request(DecisionLine line) {
        return requests.computeIfAbsent(line.text("id"), id -> new Request(line.time()));
    }

    private void taken(DecisionLine line) {
        if (line.text("id").isEmpty()) {
            return;
        }
        Request request = request(line);
        request.route = orNone(line.text("route"));
        request.organisation = orNone(line.text("tenant"));
        request.objectiveMillis = line.number("objectiveMs");
        String outcome = line.text("outcome");
        if (!outcome.equals("accepted")) {
            request.cause = "refused: " + outcome;
        }
    }

    private void ended(DecisionLine line) {
        Request request = request(line);
        String outcome = line.text("outcome");
        boolean whole = outcome.equals("whole") && line.number("status") < OK_BELOW;
        request.served = whole;
        long first = line.number("firstMs");
        request.late = whole && request.objectiveMillis > 0 && first > request.objectiveMillis;
        if (whole) {
            request.cause = request.late ? "late" : "in time";
        } else {
            request.cause =
                    request.failure.isEmpty() ? outcome : outcome + " after " + request.failure;
        }
    }

    private String value(Request request, Dimension dimension) {
        return switch (dimension) {
            case CAUSE -> request.cause;
            case ROUTE -> request.route;
            case ORGANISATION -> request.organisation;
            case UPSTREAM -> request.upstream;
            case SECOND -> Long.toString(Duration.between(begin, request.taken).toSeconds());
        };
    }

    private static String orNone(String text) {
        return text.isEmpty() ? NONE : text;
    }
}
