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
 * The copy of the table that one entry decides from. It only ever moves to higher revisions.
 *
 * <p>Keeps the latest changes so that a peer which lags by a few revisions is sent only those.
 *
 * @since 0.1
 */
public final class TableReplica {
    /** How many changes are kept for peers that lag. */
    public static final int MAX_KEPT_CHANGES = 256;

    private final Deque<TableChange> recent = new ArrayDeque<>();
    private Table table = Table.empty();

    /** Says what became of an offered change or snapshot. */
    public enum Offer {
        /** It is now in force. */
        APPLIED,
        /** It is not newer than what is in force; nothing changed. */
        STALE,
        /** Changes between the table in force and the offered one are missing. */
        GAP
    }

    /**
     * Returns the table in force.
     *
     * @return the current table
     */
    public Table table() {
        return table;
    }

    /**
     * Offers one change, from the platform or a peer.
     *
     * @param change the change
     * @return whether it is now in force
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
     * Offers a whole table.
     *
     * @param snapshot the whole table
     * @return whether it is now in force; an older one never is
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
     * Returns the changes that lead from a lower revision to the one in force.
     *
     * @param revision the revision a peer has
     * @return the changes in order, or empty if they are no longer kept
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
