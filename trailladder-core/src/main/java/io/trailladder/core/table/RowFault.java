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
 * Names one wrong cell of a table file.
 *
 * @param line the line in the file, the header being line 1
 * @param column the column's name
 * @param value the value found
 * @param expected what was expected instead
 * @since 0.1
 */
public record RowFault(long line, String column, String value, String expected) {
    /**
     * Describes the fault with its place.
     *
     * @param file the file's name
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
