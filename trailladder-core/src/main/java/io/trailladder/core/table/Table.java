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
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The operators' table at one revision. Immutable.
 *
 * <pre>{@code
 * Table table = Table.empty().apply(change);
 * table.organisation(keySha256).flatMap(o -> table.row(new RowKey(o, "modelo-hipo")));
 * }</pre>
 *
 * @since 0.1
 */
public final class Table {
    private static final Table EMPTY = new Table(0, "", new TreeMap<>());

    private final long revision;
    private final String changeId;
    private final NavigableMap<RowKey, Row> rows;
    private final Map<String, String> organisationByKey = new HashMap<>();
    private final Map<String, List<Row>> rowsByOrganisation = new HashMap<>();

    private Table(long revision, String changeId, NavigableMap<RowKey, Row> rows) {
        this.revision = revision;
        this.changeId = changeId;
        this.rows = rows;
        for (Row row : rows.values()) {
            organisationByKey.put(row.keySha256(), row.organisation());
            rowsByOrganisation.computeIfAbsent(row.organisation(), o -> new ArrayList<>()).add(row);
        }
    }

    /**
     * Returns the table before the first change.
     *
     * @return a table with revision 0 and no rows
     */
    public static Table empty() {
        return EMPTY;
    }

    /**
     * Creates a table from a snapshot.
     *
     * @param revision the snapshot's revision
     * @param changeId the id of the change that produced it
     * @param rows its rows
     * @return the table
     */
    public static Table of(long revision, String changeId, Collection<Row> rows) {
        NavigableMap<RowKey, Row> byKey = new TreeMap<>();
        rows.forEach(row -> byKey.put(row.key(), row));
        return new Table(revision, changeId, byKey);
    }

    /**
     * Returns the table after one change.
     *
     * @param change the change, whose revision must follow the revision of this table
     * @return the next table
     * @throws RevisionGapException if the change does not follow the revision of this table
     */
    public Table apply(TableChange change) {
        if (change.revision() != revision + 1 || !change.previousChangeId().equals(changeId)) {
            throw new RevisionGapException(this, change);
        }
        NavigableMap<RowKey, Row> next = new TreeMap<>(rows);
        change.removals().forEach(next::remove);
        change.puts().forEach(row -> next.put(row.key(), row));
        return new Table(change.revision(), change.changeId(), next);
    }

    /**
     * Returns the revision of the table.
     *
     * @return the revision; 0 before the first change
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the id of the change that produced this revision.
     *
     * @return the change id; empty at revision 0
     */
    public String changeId() {
        return changeId;
    }

    /**
     * Returns all rows in the order of their keys.
     *
     * @return an unmodifiable view of the rows
     */
    public Collection<Row> rows() {
        return Collections.unmodifiableCollection(rows.values());
    }

    /**
     * Returns one row.
     *
     * @param key the organisation and the target
     * @return the row; empty if the table does not have it
     */
    public Optional<Row> row(RowKey key) {
        return Optional.ofNullable(rows.get(key));
    }

    /**
     * Returns the organisation that a caller key belongs to.
     *
     * @param keySha256 SHA-256 of the key in lower-case hexadecimal digits
     * @return the name of the organisation; empty if the key is unknown
     */
    public Optional<String> organisation(String keySha256) {
        return Optional.ofNullable(organisationByKey.get(keySha256));
    }

    /**
     * Returns the rows of one organisation.
     *
     * @param organisation the organisation's name
     * @return the rows; empty if the organisation is unknown
     */
    public List<Row> rowsOf(String organisation) {
        return Collections.unmodifiableList(
                rowsByOrganisation.getOrDefault(organisation, List.of()));
    }
}
