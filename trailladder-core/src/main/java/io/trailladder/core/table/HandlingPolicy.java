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

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides, before a request's body is read, whether it may be read in a data centre.
 *
 * <p>The organisation is known from the caller's key. The model usually stands in the body, which
 * must not be read where the organisation's data may not be handled; so unless the caller names the
 * model in a header, the body is read only where all rows of the organisation allow it.
 *
 * @since 0.1
 */
public final class HandlingPolicy {
    private HandlingPolicy() {}

    /** Where a request may be read. */
    public sealed interface Handling {
        /** In this data centre. */
        record Here() implements Handling {}

        /**
         * Only elsewhere.
         *
         * @param dataCentres where it may be read
         */
        record Elsewhere(List<String> dataCentres) implements Handling {
            /** Copies the list. */
            public Elsewhere {
                dataCentres = List.copyOf(dataCentres);
            }
        }

        /** Nowhere is sure to be allowed until the caller names the model in a header. */
        record TargetRequired() implements Handling {}

        /** The organisation has no row for what it asks for. */
        record NotAllowed() implements Handling {}
    }

    /**
     * Decides about one request.
     *
     * @param table the table in force
     * @param organisation the caller's organisation
     * @param target the model or service, if the path or a header names it
     * @param here the data centre that got the request
     * @return where it may be read
     */
    public static Handling decide(
            Table table, String organisation, Optional<String> target, String here) {
        if (target.isPresent()) {
            return table.row(new RowKey(organisation, target.get()))
                    .map(row -> among(row.dataCentres(), here))
                    .orElse(new Handling.NotAllowed());
        }
        List<String> common = commonDataCentres(table.rowsOf(organisation));
        return common.isEmpty() ? new Handling.TargetRequired() : among(common, here);
    }

    private static Handling among(List<String> allowed, String here) {
        return allowed.contains(here) ? new Handling.Here() : new Handling.Elsewhere(allowed);
    }

    private static List<String> commonDataCentres(List<Row> rows) {
        List<String> common = new ArrayList<>();
        for (Row row : rows) {
            if (row.kind() != TargetKind.MODEL) {
                continue;
            }
            if (common.isEmpty()) {
                common.addAll(row.dataCentres());
            } else {
                common.retainAll(row.dataCentres());
                if (common.isEmpty()) {
                    return common;
                }
            }
        }
        return common;
    }
}
