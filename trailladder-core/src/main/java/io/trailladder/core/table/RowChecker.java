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
package io.trailladder.core.table;

import io.vavr.collection.Seq;
import io.vavr.control.Validation;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Converts the text cells of a table file into rows and reports every fault.
 *
 * <pre>{@code
 * RowChecker checker = new RowChecker();
 * Validation<Seq<RowFault>, Row> row = checker.check(2, cells);
 * }</pre>
 *
 * <p>Each file needs a checker of its own, since the checker also finds duplicate rows and keys
 * that two organisations share.
 *
 * @since 0.1
 */
public final class RowChecker {
    /** The columns of a table file, in order. */
    public static final List<String> COLUMNS =
            List.of(
                    "organisation",
                    "target",
                    "kind",
                    "data_centres",
                    "weight",
                    "limit_per_s",
                    "latency_ms",
                    "repeatable",
                    "key_sha256");

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final String NAME_FORM = "a name of a-z, 0-9, '.', '_', '-' (at most 63)";
    private static final int MAX_WEIGHT = 1000;
    private static final int MAX_LIMIT = 1_000_000;
    private static final int MAX_LATENCY_MILLIS = 600_000;

    private final Set<RowKey> seen = new HashSet<>();
    private final Map<String, String> organisationByKey = new HashMap<>();

    /**
     * Checks one line and converts it into a row.
     *
     * @param line number of the line in the file, for messages
     * @param cells the cells by column name; a missing cell counts as empty
     * @return the row, or all faults of the line
     */
    public Validation<Seq<RowFault>, Row> check(long line, Map<String, String> cells) {
        Line in = new Line(line, cells);
        Row row =
                new Row(
                        in.matching("organisation", NAME, NAME_FORM),
                        in.matching("target", NAME, NAME_FORM),
                        in.kind(),
                        in.dataCentres(),
                        in.number("weight", 1, MAX_WEIGHT),
                        in.number("limit_per_s", 0, MAX_LIMIT),
                        in.number("latency_ms", 1, MAX_LATENCY_MILLIS),
                        in.repeatable(),
                        in.matching("key_sha256", SHA256, "64 lower-case hexadecimal digits"));
        if (!seen.add(row.key())) {
            in.fault("target", row.key().toString(), "each organisation and target only once");
        }
        String other = organisationByKey.putIfAbsent(row.keySha256(), row.organisation());
        if (other != null && !other.equals(row.organisation())) {
            in.fault(
                    "key_sha256",
                    row.keySha256(),
                    "a key that only one organisation uses, not also " + other);
        }
        return in.result(row);
    }

    /** The cells of one line and the faults found in them. */
    private static final class Line {
        private final long number;
        private final Map<String, String> cells;
        private io.vavr.collection.List<RowFault> faults = io.vavr.collection.List.empty();

        Line(long number, Map<String, String> cells) {
            this.number = number;
            this.cells = cells;
        }

        void fault(String column, String value, String expected) {
            faults = faults.append(new RowFault(number, column, value, expected));
        }

        Validation<Seq<RowFault>, Row> result(Row row) {
            return faults.isEmpty() ? Validation.valid(row) : Validation.invalid(faults);
        }

        private String cell(String column) {
            String value = cells.get(column);
            return value == null ? "" : value.trim();
        }

        String matching(String column, Pattern form, String expected) {
            String value = cell(column);
            if (!form.matcher(value).matches()) {
                fault(column, value, expected);
            }
            return value;
        }

        TargetKind kind() {
            String value = cell("kind");
            for (TargetKind kind : TargetKind.values()) {
                if (kind.name().toLowerCase(Locale.ROOT).equals(value)) {
                    return kind;
                }
            }
            fault("kind", value, "model or service");
            return TargetKind.MODEL;
        }

        List<String> dataCentres() {
            List<String> names =
                    Arrays.stream(cell("data_centres").split(" "))
                            .filter(n -> !n.isEmpty())
                            .toList();
            boolean wellFormed = names.stream().allMatch(n -> NAME.matcher(n).matches());
            if (names.isEmpty() || !wellFormed || new HashSet<>(names).size() != names.size()) {
                fault(
                        "data_centres",
                        cell("data_centres"),
                        "one or more different data centres separated by spaces");
            }
            return names;
        }

        int number(String column, int min, int max) {
            String value = cell(column);
            try {
                int parsed = Integer.parseInt(value);
                if (parsed >= min && parsed <= max) {
                    return parsed;
                }
            } catch (NumberFormatException e) {
                // reported below in the same way as a number out of range
            }
            fault(column, value, "a whole number from " + min + " to " + max);
            return min;
        }

        boolean repeatable() {
            String value = cell("repeatable");
            if (!value.equals("yes") && !value.equals("no")) {
                fault("repeatable", value, "yes or no");
            }
            return value.equals("yes");
        }
    }
}
