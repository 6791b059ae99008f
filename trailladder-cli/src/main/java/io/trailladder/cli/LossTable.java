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
 * Counts requests that were not served or were late, grouped by a common property.
 *
 * <p>A request that its caller repeats counts once for each repetition, because gateways do not
 * link the repetitions.
 */
final class LossTable {
    /** The property by which requests are grouped. */
    enum Dimension {
        /** How the request ended for the caller: served, refused at once, held and refused, ... */
        OUTCOME,
        /** How the request ended, with the last failure. */
        CAUSE,
        /** The route. */
        ROUTE,
        /** The organisation that sent the request. */
        ORGANISATION,
        /** The last upstream that the request was sent to. */
        UPSTREAM,
        /** The second in which the request was received, counted from the earliest log line. */
        SECOND
    }

    private static final int FIRST_ERROR_STATUS = 400;
    private static final String NONE = "-";

    /** A request refused in less than this time counts as refused at once. */
    private static final long MAX_IMMEDIATE_MILLIS = 50;

    private static final String UNKNOWN_END = "no end in the logs";
    private static final String REFUSED_AT_ONCE = "refused at once";

    private final Map<String, Request> requests = new LinkedHashMap<>();
    private Instant firstLineTime;

    /** What the log lines state about one request. */
    private static final class Request {
        private final Instant receivedTime;
        private String route = NONE;
        private String organisation = NONE;
        private String upstream = NONE;
        private String cause = UNKNOWN_END;
        private String outcome = UNKNOWN_END;
        private String failure = "";
        private String peerReason = "";
        private long heldMillis;
        private long objectiveMillis;
        private boolean late;
        private boolean served;

        Request(Instant taken) {
            this.receivedTime = taken;
        }
    }

    /**
     * One row: the requests that share a value.
     *
     * @param value the value
     * @param requests the number of requests
     * @param unserved the number of requests that were not served
     * @param late the number of requests that were served late
     * @param heldMillis the total time that the unserved requests were held, in milliseconds
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
     * Adds a log line.
     *
     * @param line a decision; kinds that do not concern a request are ignored
     */
    void add(DecisionLine line) {
        if (firstLineTime == null || line.time().isBefore(firstLineTime)) {
            firstLineTime = line.time();
        }
        switch (line.kind()) {
            case "Intake" -> addIntake(line);
            case "Dispatch" -> request(line).upstream = line.text("upstream");
            case "AttemptFailed" -> addFailure(line);
            case "RelayNotOpened" -> addRelayNotOpened(line);
            case "TurnedAway" -> request(line).failure = line.text("reason");
            case "Ended" -> addEnd(line);
            default -> {
                // does not concern a request
            }
        }
    }

    /**
     * Returns the rows of a table, those with the most losses first; seconds in ascending order.
     *
     * @param dimension the property by which requests are grouped
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
     * @return one row with the value {@code all}
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

    private void addFailure(DecisionLine line) {
        String budget = RequestTrace.isBudgetEmpty(line) ? ", no retry left" : "";
        request(line).failure = line.text("failure") + budget;
    }

    private void addRelayNotOpened(DecisionLine line) {
        // the peer that was asked writes the same line, about a request that is not its own
        if (!Boolean.parseBoolean(line.text("asked"))) {
            request(line).peerReason = line.text("reason");
        }
    }

    private void addEnd(DecisionLine line) {
        Request request = request(line);
        String outcome = line.text("outcome");
        boolean served = outcome.equals("whole") && line.number("status") < FIRST_ERROR_STATUS;
        request.served = served;
        long firstMillis = line.number("firstMs");
        request.late =
                served && request.objectiveMillis > 0 && firstMillis > request.objectiveMillis;
        request.heldMillis = line.number("tookMs");
        if (served) {
            request.cause = request.late ? "late" : "in time";
            request.outcome = request.cause;
        } else {
            request.cause =
                    request.failure.isEmpty() ? outcome : outcome + " after " + request.failure;
            if (request.failure.startsWith("UNREACHABLE") && !request.peerReason.isEmpty()) {
                request.cause += ", peers " + request.peerReason;
            }
            request.outcome = unservedOutcome(outcome, request.heldMillis);
        }
    }

    private static String unservedOutcome(String outcome, long heldMillis) {
        return switch (outcome) {
            case "NOT_RUN" ->
                    heldMillis < MAX_IMMEDIATE_MILLIS ? REFUSED_AT_ONCE : "held, then refused";
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
            case SECOND ->
                    Long.toString(
                            Duration.between(firstLineTime, request.receivedTime).toSeconds());
        };
    }

    private static String orNone(String text) {
        return text.isEmpty() ? NONE : text;
    }
}
