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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The copy of the table on which one entry bases its decisions. Its revision only increases.
 *
 * <p>The replica keeps the latest changes, so that a peer that lags by a few revisions is sent only
 * the missing ones.
 *
 * @since 0.1
 */
public final class TableReplica {
    /** Maximum number of changes that are kept for lagging peers. */
    public static final int MAX_KEPT_CHANGES = 256;

    private final Deque<TableChange> recent = new ArrayDeque<>();
    private Table table = Table.empty();

    /** The result of offering a change or a snapshot. */
    public enum Offer {
        /** The change or snapshot was applied. */
        APPLIED,
        /** It is not newer than the present table, which is unchanged. */
        STALE,
        /**
         * The change does not follow the present table, which is unchanged: earlier changes are
         * missing, or it belongs to another history.
         */
        GAP
    }

    /**
     * Returns the present table.
     *
     * @return the present table
     */
    public Table table() {
        return table;
    }

    /**
     * Applies a change from the platform or a peer if it follows the present table.
     *
     * @param change the change
     * @return the result
     */
    public Offer offer(TableChange change) {
        if (change.revision() <= table.revision()) {
            return Offer.STALE;
        }
        if (change.revision() != table.revision() + 1
                || !change.previousChangeId().equals(table.changeId())) {
            return Offer.GAP;
        }
        table = table.apply(change);
        recent.addLast(change);
        if (recent.size() > MAX_KEPT_CHANGES) {
            recent.removeFirst();
        }
        return Offer.APPLIED;
    }

    /**
     * Replaces the table by a snapshot if the snapshot is newer.
     *
     * @param snapshot the snapshot
     * @return {@link Offer#APPLIED} or {@link Offer#STALE}
     */
    public Offer offer(Table snapshot) {
        if (snapshot.revision() <= table.revision()) {
            return Offer.STALE;
        }
        table = snapshot;
        recent.clear();
        return Offer.APPLIED;
    }

    /**
     * Returns the changes that lead from a lower revision to the present one.
     *
     * @param revision the revision of the peer
     * @return the changes in order; empty if they are no longer all kept
     */
    public Optional<List<TableChange>> changesSince(long revision) {
        List<TableChange> missing = new ArrayList<>();
        for (TableChange change : recent) {
            if (change.revision() > revision) {
                missing.add(change);
            }
        }
        boolean complete = missing.size() == table.revision() - revision;
        return complete ? Optional.of(missing) : Optional.empty();
    }
}
