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

import java.util.List;

/**
 * A row of the operators' table: where the requests of one organisation for one target may be
 * handled, and how many.
 *
 * <pre>{@code
 * Row row = new Row("banco-sur", "modelo-hipo", TargetKind.MODEL, List.of("baires-a"), 10, 50, 1200, true, sha);
 * row.allows("baires-b"); // false
 * }</pre>
 *
 * @param organisation the organisation's name
 * @param target the model, adapter or service
 * @param kind model or service
 * @param dataCentres the only data centres where the organisation's data may be handled
 * @param weight weight of the row against others when capacity is scarce, from 1 to 1000
 * @param limitPerSecond maximum requests per second over all entries; 0 if there is no limit
 * @param latencyTargetMillis target of the time to the first token or answer, in milliseconds
 * @param repeatable false if a request of this row must run at most once
 * @param keySha256 SHA-256 of the caller key, 64 lower-case hexadecimal digits
 * @since 0.1
 */
public record Row(
        String organisation,
        String target,
        TargetKind kind,
        List<String> dataCentres,
        int weight,
        int limitPerSecond,
        int latencyTargetMillis,
        boolean repeatable,
        String keySha256) {
    /** Copies the list of data centres. */
    public Row {
        dataCentres = List.copyOf(dataCentres);
    }

    /**
     * Returns the key of this row.
     *
     * @return the organisation and the target
     */
    public RowKey key() {
        return new RowKey(organisation, target);
    }

    /**
     * Returns whether requests of this row may be handled in a data centre.
     *
     * @param dataCentre the data centre's name
     * @return true if the row lists the data centre
     */
    public boolean allows(String dataCentre) {
        return dataCentres.contains(dataCentre);
    }

    /**
     * Returns a copy of this row for a request that must run at most once.
     *
     * @return the row, not repeatable
     */
    public Row notRepeatable() {
        return new Row(
                organisation,
                target,
                kind,
                dataCentres,
                weight,
                limitPerSecond,
                latencyTargetMillis,
                false,
                keySha256);
    }
}
