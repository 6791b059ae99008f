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
package io.trailladder.entry.gateway;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Reads a sequence of reports from a buffer. */
final class ReportBytes {
    private ReportBytes() {}

    /** Reads one report. */
    @FunctionalInterface
    interface Reader<T> {
        /**
         * Reads a report at the position of the buffer.
         *
         * @param bytes the buffer
         * @return the report
         * @throws IOException if the report is invalid
         * @throws BufferUnderflowException if the report is truncated
         */
        T read(ByteBuffer bytes) throws IOException;
    }

    /**
     * Reads all reports.
     *
     * @param bytes the buffer
     * @param reader reads one report
     * @return the reports
     * @throws IOException if any of them is invalid
     */
    static <T> List<T> readAll(ByteBuffer bytes, Reader<T> reader) throws IOException {
        List<T> reports = new ArrayList<>();
        try {
            while (bytes.hasRemaining()) {
                reports.add(reader.read(bytes));
            }
        } catch (BufferUnderflowException e) {
            throw new IOException("truncated report", e);
        }
        return reports;
    }
}
