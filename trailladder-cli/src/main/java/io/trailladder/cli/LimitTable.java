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
 * Sums up, over the logs of all gateways, what was admitted within the limits of organisations:
 * units from {@code Intake} lines, and what the processes knew of each other from {@code LimitUse}
 * lines.
 */
final class LimitTable {
    /** Fields of a {@code LimitUse} line with units, in the order of their columns. */
    static final List<String> PARTS = List.of("alone", "othersUnknown", "furtherTries", "sentLate");

    private static final String ACCEPTED = "accepted";
    private static final String OVER_LIMIT = "429, over limit of ";

    private final long windowSeconds;
    private final Map<String, NavigableMap<Long, Second>> organisations = new TreeMap<>();

    /** The sums of one organisation and second. */
    private static final class Second {
        private final Set<String> processes = new HashSet<>();
        private final double[] parts = new double[PARTS.size()];
        private double admitted;
        private long refused;
        private long oldestMillis;

        private void add(Second other) {
            processes.addAll(other.processes);
            for (int i = 0; i < parts.length; i++) {
                parts[i] += other.parts[i];
            }
            admitted += other.admitted;
            refused += other.refused;
            oldestMillis = Math.max(oldestMillis, other.oldestMillis);
        }
    }

    /**
     * The sums of one organisation over some seconds.
     *
     * @param title the organisation, or the second
     * @param fromEpochSecond the first of the seconds, since 1970
     * @param admitted units of accepted requests
     * @param parts units by {@link #PARTS}
     * @param refused number of requests refused as over the limit
     * @param processes number of processes that accepted some
     * @param oldestMillis age of the oldest digest that a process relied on, in milliseconds
     */
    record Row(
            String title,
            long fromEpochSecond,
            double admitted,
            List<Double> parts,
            long refused,
            int processes,
            long oldestMillis) {}

    /**
     * Creates a table.
     *
     * @param windowSeconds length of the windows, in seconds
     */
    LimitTable(long windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    /**
     * Adds a log line.
     *
     * @param line a decision; kinds other than {@code Intake} and {@code LimitUse} are ignored
     */
    void add(DecisionLine line) {
        if (line.kind().equals("Intake")) {
            addIntake(line);
        } else if (line.kind().equals("LimitUse")) {
            addUse(line);
        }
    }

    private void addIntake(DecisionLine line) {
        String organisation = line.text("organisation");
        String outcome = line.text("outcome");
        if (organisation.isEmpty()) {
            return;
        }
        Second second = second(organisation, line);
        if (outcome.equals(ACCEPTED)) {
            second.admitted += line.number("size");
            second.processes.add(line.source());
        } else if (outcome.startsWith(OVER_LIMIT)) {
            second.refused++;
        }
    }

    /** Adds to the second before the line, which covers it for the most part. */
    private void addUse(DecisionLine line) {
        long epochSecond = line.time().minusMillis(line.number("forMs")).getEpochSecond();
        Second second = second(line.text("organisation"), epochSecond);
        for (int i = 0; i < PARTS.size(); i++) {
            second.parts[i] += line.number(PARTS.get(i));
        }
        second.oldestMillis = Math.max(second.oldestMillis, line.number("oldestMs"));
    }

    private Second second(String organisation, DecisionLine line) {
        return second(organisation, line.time().getEpochSecond());
    }

    private Second second(String organisation, long epochSecond) {
        return organisations
                .computeIfAbsent(organisation, name -> new TreeMap<>())
                .computeIfAbsent(epochSecond, at -> new Second());
    }

    /**
     * Returns the fullest window of each organisation that was refused something, those with the
     * most units first.
     *
     * @return one row for each
     */
    List<Row> fullestWindows() {
        List<Row> rows = new ArrayList<>();
        organisations.forEach(
                (organisation, seconds) -> {
                    if (seconds.values().stream().anyMatch(second -> second.refused > 0)) {
                        rows.add(fullestWindow(organisation, seconds));
                    }
                });
        rows.sort(Comparator.comparingDouble(row -> -row.admitted()));
        return rows;
    }

    private Row fullestWindow(String organisation, NavigableMap<Long, Second> seconds) {
        Second fullest = new Second();
        long from = seconds.firstKey();
        for (long start : seconds.keySet()) {
            Second sum = new Second();
            seconds.subMap(start, start + windowSeconds).values().forEach(sum::add);
            if (sum.admitted > fullest.admitted) {
                fullest = sum;
                from = start;
            }
        }
        return row(organisation, from, fullest);
    }

    /**
     * Returns the seconds of an organisation in which something was admitted or refused.
     *
     * @param organisation the organisation
     * @return one row for each second, in order; empty for an unknown organisation
     */
    List<Row> seconds(String organisation) {
        List<Row> rows = new ArrayList<>();
        organisations
                .getOrDefault(organisation, new TreeMap<>())
                .forEach((at, second) -> rows.add(row(Long.toString(at), at, second)));
        return rows;
    }

    private static Row row(String title, long from, Second sum) {
        List<Double> parts = new ArrayList<>();
        for (double part : sum.parts) {
            parts.add(part);
        }
        return new Row(
                title,
                from,
                sum.admitted,
                parts,
                sum.refused,
                sum.processes.size(),
                sum.oldestMillis);
    }
}
