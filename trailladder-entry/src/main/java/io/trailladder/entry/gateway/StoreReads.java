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

import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.StoreFailure;
import io.vavr.control.Either;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/**
 * Repeats reads of the same keys of the store. Until one has succeeded, the next begins as soon as
 * the store answers again: a call to a store that does not answer takes long to fail. Answers and
 * delays of earlier reads are ignored.
 */
final class StoreReads {
    private final EventLoop loop;
    private final StoreHealth health;
    private final BooleanSupplier succeeded;
    private final IntConsumer read;
    private int latest;

    /**
     * Creates reads; none has begun yet.
     *
     * @param loop the event loop whose thread runs them
     * @param health notified of answers and failures of the store
     * @param succeeded whether one of them has succeeded
     * @param read begins a read; receives its number, which its answers must name
     */
    StoreReads(EventLoop loop, StoreHealth health, BooleanSupplier succeeded, IntConsumer read) {
        this.loop = loop;
        this.health = health;
        this.succeeded = succeeded;
        this.read = read;
        health.onRegained(this::beginIfOverdue);
    }

    /** Begins a read at once. */
    void begin() {
        latest++;
        read.accept(latest);
    }

    /** Begins a read after a delay in milliseconds, unless another has begun by then. */
    void beginAfter(long delayMillis) {
        int before = latest;
        loop.schedule(
                delayMillis,
                () -> {
                    if (before == latest) {
                        begin();
                    }
                });
    }

    private void beginIfOverdue() {
        if (latest > 0 && !succeeded.getAsBoolean()) {
            begin();
        }
    }

    /**
     * Records how a call of a read ended.
     *
     * @param number the number of the read
     * @param result the result of the call
     * @return false if another read has begun, so that the result must be ignored
     */
    boolean ended(int number, Either<StoreFailure, ?> result) {
        if (number != latest) {
            return false;
        }
        // the first answer after a failure may begin another read
        result.peek(answer -> health.answered()).peekLeft(health::failed);
        return number == latest;
    }
}
