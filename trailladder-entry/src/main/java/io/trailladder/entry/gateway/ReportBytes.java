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

/** Reads reports that stand one after the other. */
final class ReportBytes {
    private ReportBytes() {}

    /** Reads one report. */
    @FunctionalInterface
    interface Reader<T> {
        /**
         * Reads a report from where the bytes stand.
         *
         * @param bytes what was written
         * @return the report
         * @throws IOException if it is unsound
         * @throws BufferUnderflowException if it ends early
         */
        T read(ByteBuffer bytes) throws IOException;
    }

    /**
     * Reads all reports.
     *
     * @param bytes what was written
     * @param reader reads one
     * @return the reports
     * @throws IOException if any of them is unsound
     */
    static <T> List<T> readAll(ByteBuffer bytes, Reader<T> reader) throws IOException {
        List<T> reports = new ArrayList<>();
        try {
            while (bytes.hasRemaining()) {
                reports.add(reader.read(bytes));
            }
        } catch (BufferUnderflowException e) {
            throw new IOException("a report ends early", e);
        }
        return reports;
    }
}
