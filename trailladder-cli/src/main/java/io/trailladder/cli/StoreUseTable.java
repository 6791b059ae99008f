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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the calls of gateways to the platform's store by purpose and kind. */
final class StoreUseTable {
    private static final String KIND = "StoreUse";
    private static final String KIND_FIELD = "kind";

    private final Map<String, Long> calls = new TreeMap<>();

    /**
     * One row.
     *
     * @param purposeAndKind the purpose and kind of the calls
     * @param calls the number of calls
     */
    record Row(String purposeAndKind, long calls) {}

    /**
     * Adds a log line.
     *
     * @param line a decision; kinds other than {@code StoreUse} are ignored
     */
    void add(DecisionLine line) {
        if (!line.kind().equals(KIND)) {
            return;
        }
        line.fields()
                .fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!name.equals(KIND_FIELD)) {
                                calls.merge(name, line.number(name), Long::sum);
                            }
                        });
    }

    /**
     * Returns the rows, those with the most calls first.
     *
     * @return the rows
     */
    List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        calls.forEach((purposeAndKind, count) -> rows.add(new Row(purposeAndKind, count)));
        rows.sort(Comparator.comparingLong(row -> -row.calls()));
        return rows;
    }
}
