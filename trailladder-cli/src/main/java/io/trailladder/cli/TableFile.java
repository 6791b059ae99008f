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

import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowChecker;
import io.trailladder.core.table.RowFault;
import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Validation;
import java.io.IOException;
import java.io.Reader;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/**
 * Reads and writes the table as a CSV file in the form that spreadsheets save.
 *
 * @since 0.1
 */
final class TableFile {
    private static final CSVFormat FORMAT =
            CSVFormat.RFC4180
                    .builder()
                    .setHeader()
                    .setSkipHeaderRecord(true)
                    .setIgnoreEmptyLines(true)
                    .setIgnoreSurroundingSpaces(true)
                    .get();

    private TableFile() {}

    /** Reads a file and returns either all rows or all faults. */
    static Validation<Seq<RowFault>, Seq<Row>> read(Path file) {
        try (Reader reader = Files.newBufferedReader(file)) {
            return parse(reader);
        } catch (IOException e) {
            return unreadable(e);
        }
    }

    /** Parses CSV text and returns either all rows or all faults. */
    static Validation<Seq<RowFault>, Seq<Row>> parse(Reader reader) {
        try (CSVParser parser = FORMAT.parse(reader)) {
            Seq<RowFault> faults = headerFaults(parser);
            if (!faults.isEmpty()) {
                return Validation.invalid(faults);
            }
            return rows(parser);
        } catch (IOException | UncheckedIOException | IllegalStateException e) {
            return unreadable(e);
        }
    }

    private static Validation<Seq<RowFault>, Seq<Row>> unreadable(Exception cause) {
        String value = String.valueOf(cause.getMessage());
        return Validation.invalid(List.of(new RowFault(1, "", value, "a readable CSV file")));
    }

    /** Returns rows as CSV text with a header. */
    static String write(Collection<Row> rows) {
        StringWriter text = new StringWriter();
        String[] header = RowChecker.COLUMNS.toArray(String[]::new);
        CSVFormat format = CSVFormat.RFC4180.builder().setHeader(header).get();
        try (CSVPrinter printer = new CSVPrinter(text, format)) {
            for (Row row : rows) {
                printer.printRecord(
                        row.organisation(),
                        row.target(),
                        row.kind().name().toLowerCase(Locale.ROOT),
                        String.join(" ", row.dataCentres()),
                        row.weight(),
                        row.limitPerSecond(),
                        row.latencyTargetMillis(),
                        row.repeatable() ? "yes" : "no",
                        row.keySha256());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static Seq<RowFault> headerFaults(CSVParser parser) {
        java.util.List<String> found = parser.getHeaderNames();
        Seq<RowFault> faults = List.empty();
        for (String column : RowChecker.COLUMNS) {
            if (!found.contains(column)) {
                faults = faults.append(new RowFault(1, column, "", "this column in the header"));
            }
        }
        for (String column : found) {
            if (!RowChecker.COLUMNS.contains(column)) {
                String expected = "one of " + String.join(", ", RowChecker.COLUMNS);
                faults = faults.append(new RowFault(1, column, column, expected));
            }
        }
        return faults;
    }

    private static Validation<Seq<RowFault>, Seq<Row>> rows(CSVParser parser) {
        RowChecker checker = new RowChecker();
        Seq<RowFault> faults = List.empty();
        Seq<Row> rows = List.empty();
        for (CSVRecord line : parser) {
            Validation<Seq<RowFault>, Row> row =
                    checker.check(parser.getCurrentLineNumber(), line.toMap());
            if (row.isValid()) {
                rows = rows.append(row.get());
            } else {
                faults = faults.appendAll(row.getError());
            }
        }
        return faults.isEmpty() ? Validation.valid(rows) : Validation.invalid(faults);
    }
}
