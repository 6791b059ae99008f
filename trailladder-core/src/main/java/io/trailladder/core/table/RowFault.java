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

/**
 * A fault in one cell of a table file.
 *
 * @param line number of the line in the file; the header is line 1
 * @param column the column's name
 * @param value the value of the cell
 * @param expected the expected form of the value
 * @since 0.1
 */
public record RowFault(long line, String column, String value, String expected) {
    /**
     * Returns a description of the fault with its position.
     *
     * @param file the name of the file
     * @return one line for an operator
     */
    public String describe(String file) {
        return file
                + ":"
                + line
                + ": column '"
                + column
                + "': found '"
                + value
                + "', expected "
                + expected;
    }
}
