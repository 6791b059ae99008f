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
    /** How new the result of a read must be. */
    enum Freshness {
        /** With every write that was answered before. */
        LATEST,
        /** Perhaps seconds old, which costs less. */
        RECENT
    }

    /**
     * Told of each answer's epoch: the number of the store's history, which rises when the store
     * comes back without some of what it had acknowledged.
     */
    interface EpochListener {
        /**
         * Called before an answer is handed out.
         *
         * @param epoch the epoch that the answer names; 0 if none, below 0 if it cannot be read
         * @return false if the answer is of another history than the current one and does not count
         */
        boolean isCurrent(long epoch);
    }

    /**
     * Has a listener told of each answer's epoch; an answer that it refuses is handed out as {@link
     * StoreFailure#HISTORY_LOST}.
     *
     * @param listener the listener, in place of an earlier one
     */
    void onEpoch(EpochListener listener);

    /**
     * Reads the keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterKey only keys after this one; empty for the first part
     * @param freshness how new they must be
     * @param result told of the keys
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
     * @param result told of the item; gone if there is none
     */
    void read(String key, Consumer<Either<StoreFailure, StoreItem>> result);

    /**
     * Waits for changes of the keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision only changes after this revision
     * @param waitMillis how long the store waits for one, in milliseconds
     * @param result told of the changes; none if the wait is over
     * @return breaks the wait off; its result is then never told
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
     * @param result told of the new revision
     */
    void write(StoreWrite write, Consumer<Either<StoreFailure, Long>> result);

    /**
     * Grants a lease that runs from the call's arrival.
     *
     * @param ttlMillis how long it lasts, in milliseconds
     * @param result told of the lease's number
     */
    void grant(long ttlMillis, Consumer<Either<StoreFailure, Long>> result);

    /**
     * Renews a lease for its time to live.
     *
     * @param lease the lease's number
     * @param result told of the lease's number
     */
    void renew(long lease, Consumer<Either<StoreFailure, Long>> result);

    /**
     * Ends a lease; its keys vanish.
     *
     * @param lease the lease's number
     * @param result told of the lease's number
     */
    void end(long lease, Consumer<Either<StoreFailure, Long>> result);
}
