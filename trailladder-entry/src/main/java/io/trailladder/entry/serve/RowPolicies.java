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
package io.trailladder.entry.serve;

import io.trailladder.core.limit.LimitShare;
import io.trailladder.core.limit.RateLimiter;
import io.trailladder.core.limit.RetryBudget;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowKey;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TableChange;
import io.trailladder.core.table.TableReplica;
import io.trailladder.core.table.TableReplica.Offer;
import io.trailladder.entry.MonotonicClock;
import io.trailladder.wire.PeerMessage.RowDemand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds the table in force with the limiters and retry budgets that belong to its rows.
 *
 * @since 0.1
 */
public final class RowPolicies {
    private static final double DEMAND_DECAY = 0.7;

    private final TableReplica replica = new TableReplica();
    private final Map<RowKey, RateLimiter> limiters = new HashMap<>();
    private final Map<RowKey, Double> ownDemand = new HashMap<>();
    private final Map<RowKey, Integer> requestCounts = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final List<Consumer<Table>> listeners = new ArrayList<>();
    private volatile Table table = Table.empty();

    /**
     * Asks to be told of every new table.
     *
     * @param listener called after the table is in force
     */
    public synchronized void onChange(Consumer<Table> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the table in force.
     *
     * @return the table
     */
    public Table table() {
        return table;
    }

    /**
     * Offers changes, from the platform or a peer.
     *
     * @param changes in the order of their revisions
     * @return {@code GAP} if changes before these are missing
     */
    public Offer offer(List<TableChange> changes) {
        Offer last = Offer.STALE;
        boolean applied = false;
        synchronized (this) {
            for (TableChange change : changes) {
                last = replica.offer(change);
                applied |= last == Offer.APPLIED;
            }
            refreshTable();
        }
        notifyListeners(applied);
        return last;
    }

    /**
     * Offers a whole table.
     *
     * @param snapshot the table
     */
    public void offer(Table snapshot) {
        boolean applied;
        synchronized (this) {
            applied = replica.offer(snapshot) == Offer.APPLIED;
            refreshTable();
        }
        notifyListeners(applied);
    }

    /**
     * Returns the changes a peer lacks.
     *
     * @param revision the revision the peer has
     * @return the changes, or empty if they are no longer kept
     */
    public synchronized Optional<List<TableChange>> changesSince(long revision) {
        return replica.changesSince(revision);
    }

    /**
     * Takes one request's part of its row's limit.
     *
     * @param row the row
     * @return 0 if the request may go on, else milliseconds until asking again may help
     */
    public synchronized long tryAcquire(Row row) {
        if (row.limitPerSecond() == 0) {
            return 0;
        }
        requestCounts.merge(row.key(), 1, Integer::sum);
        long now = MonotonicClock.millis();
        return limiters.computeIfAbsent(
                        row.key(), key -> new RateLimiter(row.limitPerSecond(), now))
                .tryAcquire(now);
    }

    /**
     * Measures this entry's demand of the last second.
     *
     * @return the demand of limited rows
     */
    public synchronized List<RowDemand> measureDemand() {
        List<RowDemand> demands = new ArrayList<>();
        for (Row row : table.rows()) {
            if (row.limitPerSecond() > 0) {
                RowKey key = row.key();
                double before = ownDemand.getOrDefault(key, 0.0);
                double next =
                        before * DEMAND_DECAY + requestCounts.getOrDefault(key, 0) * (1 - DEMAND_DECAY);
                ownDemand.put(key, next);
                demands.add(new RowDemand(key.organisation(), key.target(), next));
            }
        }
        requestCounts.clear();
        return demands;
    }

    /**
     * Sets this entry's share of every limit.
     *
     * @param peerDemand what the other entries were asked for
     * @param peers how many other entries there are
     */
    public synchronized void updateShares(Map<RowKey, Double> peerDemand, int peers) {
        long now = MonotonicClock.millis();
        for (Row row : table.rows()) {
            if (row.limitPerSecond() == 0) {
                continue;
            }
            double share =
                    LimitShare.of(
                            row.limitPerSecond(),
                            ownDemand.getOrDefault(row.key(), 0.0),
                            peerDemand.getOrDefault(row.key(), 0.0),
                            peers);
            limiters.computeIfAbsent(row.key(), key -> new RateLimiter(share, now))
                    .rate(share, now);
        }
    }

    /**
     * Returns an organisation's retry budget.
     *
     * @param organisation the organisation's name
     * @return the budget
     */
    public synchronized RetryBudget budget(String organisation) {
        return budgets.computeIfAbsent(organisation, name -> new RetryBudget());
    }

    private void refreshTable() {
        table = replica.table();
        limiters.keySet().removeIf(key -> table.row(key).isEmpty());
        ownDemand.keySet().removeIf(key -> table.row(key).isEmpty());
        budgets.keySet().removeIf(organisation -> table.rowsOf(organisation).isEmpty());
    }

    private void notifyListeners(boolean applied) {
        if (applied) {
            List.copyOf(listeners).forEach(listener -> listener.accept(table));
        }
    }
}
