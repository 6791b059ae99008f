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
package io.trailladder.entry.port;

import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * The platform's store: keys with revisions, conditional writes, leases and watches. All calls
 * return at once; results come on the event loop's thread.
 *
 * @since 0.2
 */
public interface CoordinationStore {
    /** How recent the result of a read must be. */
    enum Freshness {
        /** Includes every write that was answered before the read. */
        LATEST,
        /** May be seconds old, which is less expensive. */
        RECENT
    }

    /**
     * Receives the epoch of each answer: the number of the store's history, which increases when
     * the store returns without some of the writes it had acknowledged.
     */
    interface EpochListener {
        /**
         * Returns whether an answer is of the current epoch. Called before the answer is passed on.
         *
         * @param epoch the epoch given in the answer; 0 if there is none, below 0 if it cannot be
         *     read
         * @return false if the answer is of another history than the current one and must be
         *     ignored
         */
        boolean isCurrent(long epoch);
    }

    /**
     * Sets the listener that receives the epoch of each answer. An answer that it rejects is passed
     * on as {@link StoreFailure#HISTORY_LOST}.
     *
     * @param listener the listener, which replaces an earlier one
     */
    void onEpoch(EpochListener listener);

    /**
     * Reads the keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterKey only keys after this one; empty for the first part
     * @param freshness how recent the result must be
     * @param result receives the items
     */
    void list(
            String prefix,
            String afterKey,
            Freshness freshness,
            Consumer<Either<StoreFailure, StoreBatch>> result);

    /**
     * Reads one key.
     *
     * @param key the key
     * @param result receives the item; marked as removed if there is none
     */
    void read(String key, Consumer<Either<StoreFailure, StoreItem>> result);

    /**
     * Waits for changes of the keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision only changes after this revision
     * @param waitMillis how long the store waits for one, in milliseconds
     * @param result receives the changes; none if the wait timed out
     * @return cancels the wait; {@code result} is then never called
     */
    Runnable watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<Either<StoreFailure, StoreBatch>> result);

    /**
     * Writes a key if it has the expected revision.
     *
     * @param write the write
     * @param result receives the new revision
     */
    void write(StoreWrite write, Consumer<Either<StoreFailure, Long>> result);

    /**
     * Grants a lease that starts when the store receives the call.
     *
     * @param ttlMillis how long it lasts, in milliseconds
     * @param result receives the lease's number
     */
    void grant(long ttlMillis, Consumer<Either<StoreFailure, Long>> result);

    /**
     * Renews a lease for its time to live.
     *
     * @param lease the lease's number
     * @param result receives the lease's number
     */
    void renew(long lease, Consumer<Either<StoreFailure, Long>> result);

    /**
     * Ends a lease and removes its keys.
     *
     * @param lease the lease's number
     * @param result receives the lease's number
     */
    void end(long lease, Consumer<Either<StoreFailure, Long>> result);
}
