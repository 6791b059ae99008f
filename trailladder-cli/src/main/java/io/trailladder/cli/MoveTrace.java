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

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Traces how a model request moved between entries, and where its caller found it again. */
final class MoveTrace {
    private static final Set<String> KINDS = Set.of("HandOver", "TakeUp", "AskedAgain");
    private static final String GOES_ON = "GOES_ON";
    private static final String ALREADY_HERE = "ALREADY_HERE";
    private static final String NOWHERE = "NOWHERE";

    private final List<DecisionLine> lines;

    /**
     * Creates the trace of one request.
     *
     * @param requestLines the request's lines, in any order
     */
    MoveTrace(List<DecisionLine> requestLines) {
        lines =
                requestLines.stream()
                        .filter(line -> KINDS.contains(line.kind()))
                        .sorted(Comparator.comparing(DecisionLine::time))
                        .toList();
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns in one sentence where the request moved to and why its answer ended early. */
    String cause() {
        Optional<DecisionLine> failedSearch =
                last("AskedAgain", Instant.MAX).filter(line -> line.text("found").equals(NOWHERE));
        if (failedSearch.isPresent()) {
            return "its caller requested event "
                    + failedSearch.get().number("fromEvent")
                    + ", and no entry had the request in "
                    + failedSearch.get().number("tries")
                    + " tries: "
                    + reasonNotFound(failedSearch.get().time());
        }
        return describeMove();
    }

    /**
     * Returns the last logged event before a failed search that explains why no entry had the
     * request.
     */
    private String reasonNotFound(Instant before) {
        Optional<DecisionLine> takeUp = last("TakeUp", before);
        if (takeUp.isPresent() && takeUp.get().text("result").equals(ALREADY_HERE)) {
            return entryName(takeUp.get())
                    + " had the request and was not queried, or was lost since";
        }
        if (takeUp.isPresent() && !takeUp.get().text("result").equals(GOES_ON)) {
            return "it was not resumed at "
                    + entryName(takeUp.get())
                    + ", "
                    + describeResult(takeUp.get());
        }
        if (takeUp.isPresent()) {
            return "it was resumed at "
                    + entryName(takeUp.get())
                    + ", which was lost or ended since";
        }
        return last("HandOver", before)
                .map(MoveTrace::describeHandOver)
                .orElse(
                        "no hand-over and no copy is logged,"
                                + " so its entry and the entry with its copy were both lost");
    }

    private String describeMove() {
        String search =
                last("AskedAgain", Instant.MAX)
                        .map(
                                line ->
                                        "; its caller found it "
                                                + line.text("found")
                                                + " "
                                                + line.text("peer")
                                                + " after "
                                                + line.number("tookMs")
                                                + " ms")
                        .orElse("; its caller did not request the remainder");
        return last("TakeUp", Instant.MAX)
                .map(
                        takeUp ->
                                "it moved from "
                                        + takeUp.text("from")
                                        + " to "
                                        + entryName(takeUp)
                                        + " with "
                                        + takeUp.number("tokens")
                                        + " tokens, "
                                        + describeResult(takeUp))
                .or(() -> last("HandOver", Instant.MAX).map(MoveTrace::describeHandOver))
                .map(move -> move + search)
                .orElse("no other entry resumed it" + search);
    }

    private static String describeHandOver(DecisionLine line) {
        return "it was offered by "
                + line.text("sender")
                + " to "
                + (line.text("heir").isEmpty() ? "nobody" : line.text("heir"))
                + ", answer "
                + line.text("answer");
    }

    private static String describeResult(DecisionLine takeUp) {
        return takeUp.text("cause") + ": " + takeUp.text("result");
    }

    private static String entryName(DecisionLine line) {
        return line.source().isEmpty() ? "an entry" : line.source();
    }

    private Optional<DecisionLine> last(String kind, Instant before) {
        return lines.stream()
                .filter(line -> line.kind().equals(kind))
                .filter(line -> !line.time().isAfter(before))
                .reduce((first, second) -> second);
    }
}
