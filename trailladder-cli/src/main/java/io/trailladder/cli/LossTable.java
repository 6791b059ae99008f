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
        /** How it ended for the caller, and for how long it was held. */
        OUTCOME,
        /** What became of the request, and why. */
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

    private static final int FIRST_ERROR_STATUS = 400;
    private static final String NONE = "-";

    /** A request that is refused within this time waited for nothing, in milliseconds. */
    private static final long MAX_IMMEDIATE_MILLIS = 50;

    private static final String UNKNOWN_END = "no end in the logs";
    private static final String REFUSED_AT_ONCE = "refused at once";

    private final Map<String, Request> requests = new LinkedHashMap<>();
    private Instant firstLineTime;

    /** What the lines tell of one request. */
    private static final class Request {
        private final Instant receivedTime;
        private String route = NONE;
        private String organisation = NONE;
        private String upstream = NONE;
        private String cause = UNKNOWN_END;
        private String outcome = UNKNOWN_END;
        private String failure = "";
        private long heldMillis;
        private long objectiveMillis;
        private boolean late;
        private boolean served;

        Request(Instant taken) {
            this.receivedTime = taken;
        }
    }

    /**
     * One row: requests that have a value in common.
     *
     * @param value the value
     * @param requests how many there were
     * @param unserved how many of them were not served
     * @param late how many of them were served late
     * @param heldMillis how long those were held in all that were not served, in milliseconds
     */
    record Row(String value, int requests, int unserved, int late, long heldMillis) {
        private static Row of(String value, Request request) {
            return new Row(
                    value,
                    1,
                    request.served ? 0 : 1,
                    request.late ? 1 : 0,
                    request.served ? 0 : request.heldMillis);
        }

        private Row plus(Row other) {
            return new Row(
                    value,
                    requests + other.requests,
                    unserved + other.unserved,
                    late + other.late,
                    heldMillis + other.heldMillis);
        }
    }

    /**
     * Takes a line over.
     *
     * @param line a decision; kinds that tell nothing of a request are passed over
     */
    void add(DecisionLine line) {
        if (firstLineTime == null || line.time().isBefore(firstLineTime)) {
            firstLineTime = line.time();
        }
        switch (line.kind()) {
            case "Intake" -> addIntake(line);
            case "Dispatch" -> request(line).upstream = line.text("upstream");
            case "AttemptFailed" -> request(line).failure = line.text("failure");
            case "TurnedAway" -> request(line).failure = line.text("reason");
            case "Ended" -> addEnd(line);
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
            rows.merge(value, Row.of(value, request), Row::plus);
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
        Row total = new Row("all", 0, 0, 0, 0);
        for (Row row : rows(Dimension.CAUSE)) {
            total = total.plus(row);
        }
        return total;
    }

    private Request request(DecisionLine line) {
        return requests.computeIfAbsent(line.text("id"), id -> new Request(line.time()));
    }

    private void addIntake(DecisionLine line) {
        if (line.text("id").isEmpty()) {
            return;
        }
        Request request = request(line);
        request.route = orNone(line.text("route"));
        request.organisation = orNone(line.text("organisation"));
        request.objectiveMillis = line.number("objectiveMs");
        String outcome = line.text("outcome");
        if (!outcome.equals("accepted")) {
            request.cause = "refused: " + outcome;
            request.outcome = REFUSED_AT_ONCE;
        }
    }

    private void addEnd(DecisionLine line) {
        Request request = request(line);
        String outcome = line.text("outcome");
        boolean whole = outcome.equals("whole") && line.number("status") < FIRST_ERROR_STATUS;
        request.served = whole;
        long first = line.number("firstMs");
        request.late = whole && request.objectiveMillis > 0 && first > request.objectiveMillis;
        request.heldMillis = line.number("tookMs");
        if (whole) {
            request.cause = request.late ? "late" : "in time";
            request.outcome = request.cause;
        } else {
            request.cause =
                    request.failure.isEmpty() ? outcome : outcome + " after " + request.failure;
            request.outcome = unservedOutcome(outcome, request.heldMillis);
        }
    }

    private static String unservedOutcome(String ending, long heldMillis) {
        return switch (ending) {
            case "NOT_RUN" -> heldMillis < MAX_IMMEDIATE_MILLIS ? REFUSED_AT_ONCE : "held, then refused";
            case "BROKEN_OFF" -> "broken off";
            case "caller-gone" -> "caller left";
            default -> "failed";
        };
    }

    private String value(Request request, Dimension dimension) {
        return switch (dimension) {
            case OUTCOME -> request.outcome;
            case CAUSE -> request.cause;
            case ROUTE -> request.route;
            case ORGANISATION -> request.organisation;
            case UPSTREAM -> request.upstream;
            case SECOND -> Long.toString(Duration.between(firstLineTime, request.receivedTime).toSeconds());
        };
    }

    private static String orNone(String text) {
        return text.isEmpty() ? NONE : text;
    }
}
