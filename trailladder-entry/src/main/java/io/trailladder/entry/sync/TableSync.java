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
package io.trailladder.entry.sync;

import io.trailladder.core.table.Table;
import io.trailladder.core.table.TableChange;
import io.trailladder.core.table.TableReplica.Offer;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.entry.serve.DataCentreChooser;
import io.trailladder.entry.serve.RowPolicies;
import io.trailladder.platform.KeyValueStore;
import io.trailladder.platform.TableStore;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.Heartbeat;
import io.trailladder.wire.PeerMessage.TableDelta;
import io.trailladder.wire.PeerMessage.TableSnapshot;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Applies every accepted table change, from the platform or from peers, whichever arrives first.
 *
 * <p>Two entries of a data centre watch the head of the table; the others read it periodically. An
 * entry that applies a change sends it to every peer whose last heartbeat has an older revision.
 *
 * @since 0.1
 */
public final class TableSync {
    private static final int WATCHERS = 2;
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;
    private static final long RETRY_DELAY_MILLIS = 500;
    private static final long CHECK_INTERVAL_MILLIS = 10_000;
    private static final String TASK = "table";

    private final TableStore store;
    private final KeyValueStore keyValue;
    private final RowPolicies policies;
    private final PeerLinks links;
    private final Members members;
    private final DataCentreChooser heartbeats;
    private final ScheduledExecutorService timer;
    private volatile long platformMillis;
    private volatile boolean stopped;
    private long watchRevision;
    private boolean outage;

    /**
     * Creates the sync.
     *
     * @param keyValue the platform's key-value service
     * @param policies the table in force
     * @param links sends to peers
     * @param members provides the rank of this entry
     * @param heartbeats provides the table revisions of peers
     * @param timer runs the delayed reads
     */
    public TableSync(
            KeyValueStore keyValue,
            RowPolicies policies,
            PeerLinks links,
            Members members,
            DataCentreChooser heartbeats,
            ScheduledExecutorService timer) {
        this.keyValue = keyValue;
        this.store = new TableStore(keyValue);
        this.policies = policies;
        this.links = links;
        this.members = members;
        this.heartbeats = heartbeats;
        this.timer = timer;
        policies.onChange(table -> sendChangesToPeers());
    }

    /** Starts reading the table, and then watching it. */
    public void start() {
        store.load()
                .whenComplete(
                        (table, failure) -> {
                            if (failure == null) {
                                platformAnswered();
                                policies.offer(table);
                            }
                            scheduleWatch(failure == null ? 0 : RETRY_DELAY_MILLIS);
                        });
    }

    /** Stops watching the table. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns when the platform last answered.
     *
     * @return milliseconds since 1970; 0 if never
     */
    public long platformMillis() {
        return platformMillis;
    }

    /**
     * Processes a heartbeat of a peer. Sends the changes that the peer lacks.
     *
     * @param peer the peer
     * @param heartbeat the heartbeat
     */
    public void heartbeatReceived(EntryInfo peer, Heartbeat heartbeat) {
        if (heartbeat.tableRevision() < policies.table().revision()) {
            sendMissing(peer.id(), heartbeat.tableRevision());
        }
    }

    /**
     * Applies changes from a peer.
     *
     * @param delta the changes
     */
    public void received(TableDelta delta) {
        if (policies.offer(delta.changes()) == Offer.GAP) {
            Logger.debug("gap before the table changes of a peer; waiting for its next heartbeat");
        }
    }

    /**
     * Applies a complete table from a peer.
     *
     * @param snapshot the table
     */
    public void received(TableSnapshot snapshot) {
        policies.offer(Table.of(snapshot.revision(), snapshot.changeId(), snapshot.rows()));
    }

    private void sendChangesToPeers() {
        for (EntryInfo peer : links.live()) {
            long theirs = heartbeats.heartbeat(peer.id()).map(Heartbeat::tableRevision).orElse(0L);
            if (theirs < policies.table().revision()) {
                sendMissing(peer.id(), theirs);
            }
        }
    }

    private void sendMissing(String peer, long theirRevision) {
        Table table = policies.table();
        policies.changesSince(theirRevision)
                .ifPresentOrElse(
                        changes -> links.send(peer, new TableDelta(changes)),
                        () ->
                                links.send(
                                        peer,
                                        new TableSnapshot(
                                                table.revision(),
                                                table.changeId(),
                                                List.copyOf(table.rows()))));
    }

    private void watch() {
        if (stopped) {
            return;
        }
        if (members.rank(TASK) >= WATCHERS) {
            catchUp().whenComplete((done, failure) -> scheduleWatch(CHECK_INTERVAL_MILLIS));
            return;
        }
        keyValue.watch(TableStore.HEAD_KEY, watchRevision, WATCH_TIMEOUT_MILLIS)
                .thenCompose(
                        batch -> {
                            platformAnswered();
                            watchRevision = Math.max(watchRevision, batch.revision());
                            return catchUp();
                        })
                .whenComplete(
                        (done, failure) -> {
                            logOutage(failure);
                            scheduleWatch(failure == null ? 0 : RETRY_DELAY_MILLIS);
                        });
    }

    private CompletableFuture<Void> catchUp() {
        return store.changesAfter(policies.table())
                .thenCompose(
                        changes -> {
                            platformAnswered();
                            return offer(changes);
                        });
    }

    private CompletableFuture<Void> offer(List<TableChange> changes) {
        if (changes.isEmpty() || policies.offer(changes) != Offer.GAP) {
            return CompletableFuture.completedFuture(null);
        }
        return store.load().thenAccept(policies::offer);
    }

    private void scheduleWatch(long delayMillis) {
        if (!stopped) {
            long jitter = delayMillis == 0 ? 1 : ThreadLocalRandom.current().nextLong(100, 300);
            timer.schedule(this::watch, delayMillis + jitter, TimeUnit.MILLISECONDS);
        }
    }

    /** Logs the first failure of an outage only. */
    private void logOutage(Throwable failure) {
        boolean down = failure != null;
        if (down && !outage) {
            Logger.warn("reading the table failed: {}", TableStore.unwrapped(failure).getMessage());
        }
        outage = down;
    }

    private void platformAnswered() {
        platformMillis = System.currentTimeMillis();
    }
}
