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

/** How a model request passed from one entry to another, and where its callers found it. */
final class MoveTrace {
    private static final Set<String> KINDS = Set.of("HandOver", "TakeUp", "AskedAgain");
    private static final String GOES_ON = "GOES_ON";
    private static final String ALREADY_HERE = "ALREADY_HERE";
    private static final String NOWHERE = "NOWHERE";

    private final List<DecisionLine> lines;

    /**
     * Creates the trace.
     *
     * @param own the request's lines, in any order
     */
    MoveTrace(List<DecisionLine> own) {
        lines =
                own.stream()
                        .filter(line -> KINDS.contains(line.kind()))
                        .sorted(Comparator.comparing(DecisionLine::time))
                        .toList();
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns where the request went and why its answer ended early, in one sentence. */
    String cause() {
        Optional<DecisionLine> asked =
                last("AskedAgain", Instant.MAX).filter(line -> line.text("found").equals(NOWHERE));
        if (asked.isPresent()) {
            return "its caller asked for event "
                    + asked.get().number("fromEvent")
                    + " and "
                    + asked.get().number("tries")
                    + " times no entry had it: "
                    + reasonNotFound(asked.get().time());
        }
        return describeMove();
    }

    /** Names the last thing before a vain question that kept the request from going on. */
    private String reasonNotFound(Instant before) {
        Optional<DecisionLine> taken = last("TakeUp", before);
        if (taken.isPresent() && taken.get().text("result").equals(ALREADY_HERE)) {
            return entryName(taken.get()) + " worked on it and was not asked, or was lost since";
        }
        if (taken.isPresent() && !taken.get().text("result").equals(GOES_ON)) {
            return "it was not taken up at " + entryName(taken.get()) + ", " + describeResult(taken.get());
        }
        if (taken.isPresent()) {
            return "it was taken up at " + entryName(taken.get()) + ", which was lost or ended since";
        }
        return last("HandOver", before)
                .map(MoveTrace::describeHandOver)
                .orElse(
                        "no hand-over and no copy is logged,"
                                + " so its entry and its copy's were both lost");
    }

    private String describeMove() {
        String found =
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
                        .orElse("; its caller did not ask for the rest");
        return last("TakeUp", Instant.MAX)
                .map(
                        taken ->
                                "it passed from "
                                        + taken.text("from")
                                        + " to "
                                        + entryName(taken)
                                        + " with "
                                        + taken.number("tokens")
                                        + " tokens, "
                                        + describeResult(taken))
                .or(() -> last("HandOver", Instant.MAX).map(MoveTrace::describeHandOver))
                .map(way -> way + found)
                .orElse("no other entry took it up" + found);
    }

    private static String describeHandOver(DecisionLine line) {
        return "it was offered by "
                + line.text("sender")
                + " to "
                + (line.text("heir").isEmpty() ? "nobody" : line.text("heir"))
                + ", answer "
                + line.text("answer");
    }

    private static String describeResult(DecisionLine taken) {
        return taken.text("cause") + ": " + taken.text("result");
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
