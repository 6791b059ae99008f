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
 * An accepted edit of the table, which is the unit in which the table is distributed.
 *
 * @param revision the revision this change produces; the first revision is 1
 * @param changeId unique id of the edit, by which its author can find out whether it was accepted
 *     if the answer was lost
 * @param previousChangeId the change id of {@code revision - 1}; empty for the first change
 * @param author the author of the edit
 * @param puts rows to add or replace
 * @param removals keys of the rows to remove
 * @since 0.1
 */
public record TableChange(
        long revision,
        String changeId,
        String previousChangeId,
        String author,
        List<Row> puts,
        List<RowKey> removals) {
    /** Copies the lists. */
    public TableChange {
        puts = List.copyOf(puts);
        removals = List.copyOf(removals);
    }
}
