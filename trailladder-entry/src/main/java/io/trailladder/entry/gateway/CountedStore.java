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

import io.trailladder.entry.gateway.StoreCalls.Kind;
import io.trailladder.entry.gateway.StoreCalls.Purpose;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** A store whose calls are counted for one purpose, and whose short ones are timed. */
final class CountedStore implements CoordinationStore {
    private final CoordinationStore store;
    private final StoreCalls calls;
    private final Purpose purpose;
    private final LongSupplier nowMillis;
    private final LongConsumer latencyListener;

    CountedStore(
            CoordinationStore store,
            StoreCalls calls,
            Purpose purpose,
            LongSupplier nowMillis,
            LongConsumer answered) {
        this.nowMillis = nowMillis;
        this.latencyListener = answered;
        this.store = store;
        this.calls = calls;
        this.purpose = purpose;
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
        count(freshness == Freshness.LATEST ? Kind.FRESH_READ : Kind.RECENT_READ);
        store.list(prefix, afterKey, freshness, result);
    }

    @Override
    public void read(String key, Consumer<Either<StoreFailure, StoreItem>> result) {
        count(Kind.FRESH_READ);
        store.read(key, result);
    }

    @Override
    public Runnable watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<Either<StoreFailure, StoreBatch>> result) {
        return store.watch(
                prefix,
                afterRevision,
                waitMillis,
                batch -> {
                    boolean news = batch.isRight() && !batch.get().items().isEmpty();
                    count(news ? Kind.WATCH_WITH_NEWS : Kind.WATCH_WITHOUT_NEWS);
                    result.accept(batch);
                });
    }

    @Override
    public void write(StoreWrite write, Consumer<Either<StoreFailure, Long>> result) {
        count(Kind.WRITE);
        store.write(write, result);
    }

    @Override
    public void grant(long ttlMillis, Consumer<Either<StoreFailure, Long>> result) {
        count(Kind.GRANT);
        store.grant(ttlMillis, timed(result));
    }

    @Override
    public void renew(long lease, Consumer<Either<StoreFailure, Long>> result) {
        count(Kind.RENEWAL);
        store.renew(lease, timed(result));
    }

    @Override
    public void end(long lease, Consumer<Either<StoreFailure, Long>> result) {
        count(Kind.END);
        store.end(lease, result);
    }

    private <T> Consumer<Either<StoreFailure, T>> timed(Consumer<Either<StoreFailure, T>> result) {
        long sent = nowMillis.getAsLong();
        return answer -> {
            if (answer.isRight()) {
                latencyListener.accept(nowMillis.getAsLong() - sent);
            }
            result.accept(answer);
        };
    }

    private void count(Kind kind) {
        calls.countCall(purpose, kind);
    }
}
