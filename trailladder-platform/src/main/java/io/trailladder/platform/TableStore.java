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
package io.trailladder.platform;

import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowKey;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TableChange;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Stores the table in the platform's key-value service: a record per change, a head that identifies
 * the newest change, and a snapshot after every 32nd change.
 *
 * <p>The compare-and-swap of the head is the commit. If its answer is lost, the history is searched
 * for the change to find out whether it was committed.
 *
 * @since 0.1
 */
public final class TableStore {
    /** Key of the head; a watch on it reports every commit. */
    public static final String HEAD_KEY = "table/head";

    private static final String SNAPSHOT_KEY = "table/snapshot";
    private static final int CHANGES_PER_SNAPSHOT = 32;
    private static final int MAX_COMMIT_ATTEMPTS = 5;

    private final KeyValueStore store;

    /**
     * Identifies the newest change.
     *
     * @param revision its revision
     * @param changeId its id
     */
    public record Head(long revision, String changeId) {}

    /**
     * A head with the version that a commit must expect.
     *
     * @param head the head
     * @param version the key's version
     */
    private record HeadItem(Head head, long version) {}

    /**
     * The stored form of a whole table.
     *
     * @param revision its revision
     * @param changeId id of the change that produced it
     * @param rows its rows
     */
    public record Snapshot(long revision, String changeId, List<Row> rows) {}

    /** The reason why a commit did not succeed. */
    public sealed interface CommitFailure {
        /**
         * Another change was committed first.
         *
         * @param winner the newest change
         */
        record Lost(TableChange winner) implements CommitFailure {}

        /**
         * The platform cannot be reached to find out whether the change was committed.
         *
         * @param changeId id of the change, to be looked up later
         */
        record Unknown(String changeId) implements CommitFailure {}

        /**
         * The platform cannot be reached; the change was certainly not committed.
         *
         * @param cause message of the failure
         */
        record Unreachable(String cause) implements CommitFailure {}
    }

    /**
     * Creates the store.
     *
     * @param store the key-value service
     */
    public TableStore(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Reads the newest table.
     *
     * @return the table; fails with {@link PlatformException}
     */
    public CompletableFuture<Table> load() {
        return head().thenCompose(item -> load(item.head()));
    }

    /**
     * Reads the changes after a table.
     *
     * @param known the table
     * @return the changes in order; empty if the table is up to date
     */
    public CompletableFuture<List<TableChange>> changesAfter(Table known) {
        return head().thenCompose(item -> walk(item.head(), known.revision(), new ArrayDeque<>()));
    }

    /**
     * Reads the newest changes.
     *
     * @param count maximum number of changes
     * @return the changes, oldest first
     */
    public CompletableFuture<List<TableChange>> history(int count) {
        return head().thenCompose(
                        item ->
                                walk(
                                        item.head(),
                                        Math.max(0, item.head().revision() - count),
                                        new ArrayDeque<>()));
    }

    /**
     * Commits a change.
     *
     * @param base the table it was made from
     * @param changeId a new unique id
     * @param author the author of the change
     * @param puts rows added or replaced
     * @param removals keys of rows removed
     * @return the committed change, or the reason why it is not committed
     */
    public CompletableFuture<Either<CommitFailure, TableChange>> commit(
            Table base, String changeId, String author, List<Row> puts, List<RowKey> removals) {
        TableChange change =
                new TableChange(
                        base.revision() + 1, changeId, base.changeId(), author, puts, removals);
        return store.put(changeKey(change.revision(), changeId), json(change), KeyValueStore.ABSENT)
                .thenCompose(version -> head())
                .thenCompose(head -> commit(change, head, MAX_COMMIT_ATTEMPTS))
                .exceptionally(
                        failure ->
                                Either.left(
                                        new CommitFailure.Unreachable(
                                                unwrapped(failure).getMessage())))
                .thenCompose(result -> afterCommit(base, result));
    }

    /**
     * Finds out whether a change was committed.
     *
     * @param changeId its id
     * @param sinceRevision the revision it was made from
     * @return the change, if it is part of the table's history
     */
    public CompletableFuture<Optional<TableChange>> find(String changeId, long sinceRevision) {
        return head().thenCompose(item -> walk(item.head(), sinceRevision, new ArrayDeque<>()))
                .thenApply(
                        changes ->
                                changes.stream()
                                        .filter(change -> change.changeId().equals(changeId))
                                        .findFirst());
    }

    private CompletableFuture<Either<CommitFailure, TableChange>> commit(
            TableChange change, HeadItem expected, int attempts) {
        boolean follows = expected.head().changeId().equals(change.previousChangeId());
        if (!follows) {
            return outcomeFromHistory(change);
        }
        Head next = new Head(change.revision(), change.changeId());
        return store.put(HEAD_KEY, json(next), expected.version())
                .handle(
                        (version, failure) ->
                                afterSwap(change, expected, attempts, version, failure))
                .thenCompose(result -> result);
    }

    private CompletableFuture<Either<CommitFailure, TableChange>> afterSwap(
            TableChange change,
            HeadItem expected,
            int attempts,
            Optional<Long> version,
            Throwable failure) {
        if (failure == null) {
            return version.isPresent()
                    ? CompletableFuture.completedFuture(Either.right(change))
                    : outcomeFromHistory(change);
        }
        if (attempts <= 1) {
            return CompletableFuture.completedFuture(
                    Either.left(new CommitFailure.Unknown(change.changeId())));
        }
        // repeating the same swap is safe: it can take effect only once
        return commit(change, expected, attempts - 1);
    }

    /** Searches the history, the only evidence of whether a swap without an answer took effect. */
    private CompletableFuture<Either<CommitFailure, TableChange>> outcomeFromHistory(
            TableChange change) {
        return changesSince(change.revision() - 1)
                .<Either<CommitFailure, TableChange>>thenApply(
                        changes -> {
                            boolean committed = changes.contains(change);
                            TableChange newest =
                                    changes.isEmpty() ? change : changes.get(changes.size() - 1);
                            return committed
                                    ? Either.right(change)
                                    : Either.left(new CommitFailure.Lost(newest));
                        })
                .exceptionally(
                        failure -> Either.left(new CommitFailure.Unknown(change.changeId())));
    }

    private CompletableFuture<List<TableChange>> changesSince(long revision) {
        return head().thenCompose(item -> walk(item.head(), revision, new ArrayDeque<>()));
    }

    private CompletableFuture<Either<CommitFailure, TableChange>> afterCommit(
            Table base, Either<CommitFailure, TableChange> result) {
        if (result.isLeft() || result.get().revision() % CHANGES_PER_SNAPSHOT != 0) {
            return CompletableFuture.completedFuture(result);
        }
        Table table = base.apply(result.get());
        Snapshot snapshot =
                new Snapshot(table.revision(), table.changeId(), List.copyOf(table.rows()));
        return store.get(SNAPSHOT_KEY)
                .thenCompose(
                        item ->
                                store.put(
                                        SNAPSHOT_KEY,
                                        json(snapshot),
                                        item.map(KeyValueStore.Item::version)
                                                .orElse(KeyValueStore.ABSENT)))
                // without this snapshot the next start only reads more changes
                .handle((version, failure) -> result);
    }

    private CompletableFuture<Table> load(Head head) {
        return store.get(SNAPSHOT_KEY)
                .thenApply(item -> item.map(TableStore::table).orElse(Table.empty()))
                .thenCompose(
                        table ->
                                walk(head, table.revision(), new ArrayDeque<>())
                                        .thenApply(changes -> applied(table, changes)));
    }

    private CompletableFuture<List<TableChange>> walk(
            Head from, long untilRevision, Deque<TableChange> found) {
        if (from.revision() <= untilRevision) {
            return CompletableFuture.completedFuture(new ArrayList<>(found));
        }
        String key = changeKey(from.revision(), from.changeId());
        return store.get(key)
                .thenCompose(
                        item -> {
                            TableChange change =
                                    item.map(i -> read(i.value(), TableChange.class))
                                            .orElseThrow(
                                                    () -> new PlatformException(key, "nothing"));
                            found.addFirst(change);
                            Head previous =
                                    new Head(from.revision() - 1, change.previousChangeId());
                            return walk(previous, untilRevision, found);
                        });
    }

    private CompletableFuture<HeadItem> head() {
        return store.get(HEAD_KEY)
                .thenApply(
                        item ->
                                item.map(
                                                i ->
                                                        new HeadItem(
                                                                read(i.value(), Head.class),
                                                                i.version()))
                                        .orElse(
                                                new HeadItem(
                                                        new Head(0, ""), KeyValueStore.ABSENT)));
    }

    private static Table applied(Table table, List<TableChange> changes) {
        Table result = table;
        for (TableChange change : changes) {
            result = result.apply(change);
        }
        return result;
    }

    private static Table table(KeyValueStore.Item item) {
        Snapshot snapshot = read(item.value(), Snapshot.class);
        return Table.of(snapshot.revision(), snapshot.changeId(), snapshot.rows());
    }

    private static String changeKey(long revision, String changeId) {
        return String.format(Locale.ROOT, "table/change/%010d-%s", revision, changeId);
    }

    private static String json(Object value) {
        return HttpKeyValueStore.toJson(value);
    }

    private static <T> T read(String text, Class<T> type) {
        return HttpKeyValueStore.fromJson(text, type);
    }

    /**
     * Returns the exception that a future failed with.
     *
     * @param failure the exception, possibly wrapped in a {@link CompletionException}
     * @return the exception without the wrapper
     */
    public static Throwable unwrapped(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }
}
