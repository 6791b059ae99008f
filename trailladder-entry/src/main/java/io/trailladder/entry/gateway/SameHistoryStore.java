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
package io.trailladder.entry.gateway;

import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * A store whose answers count only while the history is current in which their call was made: the
 * revisions and leases that a call names mean something else in another one.
 */
final class SameHistoryStore implements CoordinationStore {
    private final CoordinationStore store;
    private final StoreHistory history;

    SameHistoryStore(CoordinationStore store, StoreHistory history) {
        this.store = store;
        this.history = history;
    }

    @Override
    public void onEpoch(EpochListener listener) {
        store.onEpoch(listener);
    }

    @Override
    public void list(
            String prefix,
            String afterKey,
            Freshness freshness,
            Consumer<Either<StoreFailure, StoreBatch>> result) {
        store.list(prefix, afterKey, freshness, ifHistoryUnchanged(result));
    }

    @Override
    public void read(String key, Consumer<Either<StoreFailure, StoreItem>> result) {
        store.read(key, ifHistoryUnchanged(result));
    }

    @Override
    public Runnable watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<Either<StoreFailure, StoreBatch>> result) {
        return store.watch(prefix, afterRevision, waitMillis, ifHistoryUnchanged(result));
    }

    @Override
    public void write(StoreWrite write, Consumer<Either<StoreFailure, Long>> result) {
        store.write(write, ifHistoryUnchanged(result));
    }

    @Override
    public void grant(long ttlMillis, Consumer<Either<StoreFailure, Long>> result) {
        store.grant(ttlMillis, ifHistoryUnchanged(result));
    }

    @Override
    public void renew(long lease, Consumer<Either<StoreFailure, Long>> result) {
        store.renew(lease, ifHistoryUnchanged(result));
    }

    @Override
    public void end(long lease, Consumer<Either<StoreFailure, Long>> result) {
        store.end(lease, ifHistoryUnchanged(result));
    }

    private <T> Consumer<Either<StoreFailure, T>> ifHistoryUnchanged(Consumer<Either<StoreFailure, T>> result) {
        long made = history.epoch();
        return answer -> {
            boolean same = made == 0 || made == history.epoch();
            result.accept(same ? answer : Either.left(StoreFailure.HISTORY_LOST));
        };
    }
}
