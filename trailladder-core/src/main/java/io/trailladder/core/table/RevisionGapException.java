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

import io.trailladder.core.TrailladderException;

/**
 * Thrown when a change does not follow the revision of the table that it is applied to.
 *
 * @since 0.1
 */
public class RevisionGapException extends TrailladderException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param table the table
     * @param change the change that does not follow it
     */
    public RevisionGapException(Table table, TableChange change) {
        super(
                "table change "
                        + change.changeId()
                        + " makes revision "
                        + change.revision()
                        + " and follows change '"
                        + change.previousChangeId()
                        + "', expected a change that follows revision "
                        + table.revision()
                        + " '"
                        + table.changeId()
                        + "'");
    }
}
