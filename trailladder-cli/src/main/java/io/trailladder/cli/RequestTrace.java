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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Collects the log lines of one request and derives why the request ended as it did. */
final class RequestTrace {
    private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(5);
    private static final int FIRST_ERROR_STATUS = 400;

    private final String id;
    private final List<DecisionLine> ownLines = new ArrayList<>();
    private final List<DecisionLine> contextLines = new ArrayList<>();

    RequestTrace(String id) {
        this.id = id;
    }

    /** Adds a log line. Lines may be added in any order. */
    void add(DecisionLine line) {
        if (line.text("id").equals(id)) {
            ownLines.add(line);
        } else if (line.kind().equals("Belief") || isOfProcess(line)) {
            contextLines.add(line);
        }
    }

    boolean isEmpty() {
        return ownLines.isEmpty();
    }

    /**
     * Returns the request's own lines and, within the context window, the lines about its upstreams
     * and its process, ordered by time.
     */
    List<DecisionLine> lines() {
        Set<String> upstreams = new HashSet<>();
        ownLines.stream()
                .filter(line -> line.kind().equals("Dispatch"))
                .forEach(line -> upstreams.add("upstream " + line.text("upstream")));
        List<DecisionLine> lines = new ArrayList<>(ownLines);
        contextLines.stream()
                .filter(line -> upstreams.contains(line.text("what")) || isFromOwnProcess(line))
                .filter(this::isNear)
                .forEach(lines::add);
        lines.sort(Comparator.comparing(DecisionLine::time));
        return lines;
    }

    /** Returns in one sentence why the request ended as it did. */
    String cause() {
        MoveTrace moves = new MoveTrace(ownLines);
        if (!moves.isEmpty()) {
            return moves.cause();
        }
        Optional<DecisionLine> intake = last("Intake");
        Optional<DecisionLine> ended = last("Ended");
        if (intake.isPresent() && !intake.get().text("outcome").equals("accepted")) {
            return describeRefusal(intake.get());
        }
        if (ended.isEmpty()) {
            return "its end is not logged: the process was lost, or lines were dropped"
                    + " (look for dropped_lines)";
        }
        return describeEnd(ended.get());
    }

    private static String describeRefusal(DecisionLine intake) {
        return "refused before any attempt: "
                + intake.text("outcome")
                + "; decided by policy version "
                + intake.number("policyVersion");
    }

    private String describeEnd(DecisionLine ended) {
        String attempts = ended.number("attempts") + " attempts";
        return switch (ended.text("outcome")) {
            case "whole" ->
                    ended.number("status") < FIRST_ERROR_STATUS
                            ? "served completely by " + ended.text("upstream")
                            : "the answer of "
                                    + ended.text("upstream")
                                    + " was passed on: "
                                    + ended.number("status");
            case "PASSED_ON" ->
                    "upstream "
                            + ended.text("upstream")
                            + " failed with "
                            + ended.number("status")
                            + " after "
                            + attempts;
            case "NOT_RUN" -> "not run, so the caller may send it again: " + lastTurnAway();
            case "MAY_HAVE_RUN" -> "may have run and may not be sent again: " + lastFailure();
            case "TIMED_OUT" -> "its timeout expired: " + lastPrediction(ended);
            case "BROKEN_OFF" -> "the answer had begun and could not continue: " + lastFailure();
            case "caller-gone" ->
                    "the caller disconnected after "
                            + ended.number("tookMs")
                            + " ms, "
                            + lastPrediction(ended);
            default -> "ended as " + ended.text("outcome") + " after " + attempts;
        };
    }

    private String lastTurnAway() {
        return last("TurnedAway")
                .map(
                        turnAway ->
                                turnAway.text("reason")
                                        + ", a slot was expected in "
                                        + turnAway.number("placeMs")
                                        + " ms and "
                                        + turnAway.number("leftMs")
                                        + " ms were left")
                .orElseGet(this::lastFailure);
    }

    private String lastFailure() {
        return last("AttemptFailed")
                .map(
                        failed ->
                                "upstream "
                                        + failed.text("upstream")
                                        + " "
                                        + failed.text("failure")
                                        + " after "
                                        + failed.number("afterMs")
                                        + " ms, then "
                                        + failed.text("recovery")
                                        + budgetState(failed)
                                        + pathState(failed)
                                        + answerState())
                .orElseGet(
                        () ->
                                last("Dispatch").isPresent()
                                        ? "the process stopped while the request was in progress"
                                        : "no upstream of its service accepted new requests");
    }

    /** Returns why an answer without a failure of its connection was not the whole answer. */
    private String answerState() {
        if (last("AnswerUnidentified").isPresent()) {
            return "; the head of an answer did not show that it answers the request";
        }
        if (last("AnswerOutOfOrder").isPresent()) {
            return "; an answer did not continue the stream that the caller has";
        }
        String finding = last("AnswerEnd").map(end -> end.text("finding")).orElse("");
        return switch (finding) {
            case "INCOMPLETE_STREAM" -> "; its answer ended as an incomplete stream";
            case "UNCONFIRMED_END" -> "; an answer resumed the stream with no event";
            case "UPSTREAM_ENDED" ->
                    "; its answer ended with its connection, and the upstream with it";
            default -> "";
        };
    }

    private String lastPrediction(DecisionLine ended) {
        return last("Dispatch")
                .map(
                        sent ->
                                "upstream "
                                        + sent.text("upstream")
                                        + " was expected to answer within "
                                        + sent.number("predictedMs")
                                        + " ms with "
                                        + sent.number("running")
                                        + " requests there, first byte "
                                        + (ended.number("firstMs") < 0
                                                ? "never arrived"
                                                : "after " + ended.number("firstMs") + " ms"))
                .orElse("it was never sent to an upstream");
    }

    private Optional<DecisionLine> last(String kind) {
        return ownLines.stream()
                .filter(line -> line.kind().equals(kind))
                .max(Comparator.comparing(DecisionLine::time));
    }

    /** Whether the line is a lifecycle event of a process that handled the request. */
    private boolean isFromOwnProcess(DecisionLine line) {
        return isOfProcess(line)
                && ownLines.stream().anyMatch(ownLine -> ownLine.source().equals(line.source()));
    }

    private static boolean isOfProcess(DecisionLine line) {
        return line.kind().equals("Lifecycle") || line.kind().equals("PathState");
    }

    private static String budgetState(DecisionLine failed) {
        return isBudgetEmpty(failed) ? "; the retry budget of the service was used up" : "";
    }

    /** Returns whether a failed attempt was the last one because of the retry budget. */
    static boolean isBudgetEmpty(DecisionLine failed) {
        return Boolean.parseBoolean(failed.text("budgetEmpty"));
    }

    /** Returns what was known of the paths to upstreams when an attempt failed to reach one. */
    private String pathState(DecisionLine failed) {
        Optional<DecisionLine> state =
                contextLines.stream()
                        .filter(line -> line.kind().equals("PathState") && isFromOwnProcess(line))
                        .filter(line -> !line.time().isAfter(failed.time()))
                        .max(Comparator.comparing(DecisionLine::time));
        if (!failed.text("failure").equals("UNREACHABLE") || state.isEmpty()) {
            return "";
        }
        return switch (state.get().text("state")) {
            case "ISOLATED" -> "; the process had lost its own path to all upstreams";
            case "FAILING" -> "; the process reached no upstream, and no peer was known to";
            default -> "";
        };
    }

    private boolean isNear(DecisionLine line) {
        return ownLines.stream()
                .anyMatch(
                        ownLine ->
                                Duration.between(ownLine.time(), line.time())
                                                .abs()
                                                .compareTo(CONTEXT_WINDOW)
                                        <= 0);
    }
}
