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

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Decides what digests contain about the store's epoch and the leaders' fencing tokens, and when.
 */
final class EpochUpdates {
    /** Interval between two digests with an unchanged epoch, in milliseconds: it rarely changes. */
    private static final long SEND_INTERVAL_MILLIS = 1_000;

    /** How long every digest contains an epoch that has changed, in milliseconds. */
    private static final long CHANGE_REPEAT_MILLIS = 5_000;

    /**
     * How long after a change of the epoch leaves may hold a list of the lost history, in
     * milliseconds.
     */
    private static final long OUTDATED_LEAF_MILLIS = 30_000;

    private final StoreHistory history;
    private LongSupplier highestToken = () -> 0;
    private LongConsumer tokenReceived = token -> {};
    private long changedMillis = Long.MIN_VALUE / 2;
    private long sentMillis = Long.MIN_VALUE / 2;

    EpochUpdates(StoreHistory history) {
        this.history = history;
    }

    /**
     * Sets the source and the receiver of fencing tokens.
     *
     * @param highest returns the highest token that this process knows
     * @param received accepts the tokens that peers send
     */
    void tokens(LongSupplier highest, LongConsumer received) {
        highestToken = highest;
        tokenReceived = received;
    }

    /** Records that the history has just been replaced. */
    void changed(long nowMillis) {
        changedMillis = nowMillis;
    }

    /** Has the next digest contain the epoch, because its receiver has not received it yet. */
    void sendWithNext() {
        sentMillis = Long.MIN_VALUE / 2;
    }

    /** Returns the section for the digests of this round; mostly {@link StoreEpochSection#NONE}. */
    StoreEpochSection next(long nowMillis) {
        boolean changedRecently = nowMillis - changedMillis < CHANGE_REPEAT_MILLIS;
        if (!changedRecently && nowMillis - sentMillis < SEND_INTERVAL_MILLIS) {
            return StoreEpochSection.NONE;
        }
        sentMillis = nowMillis;
        return new StoreEpochSection(history.epoch(), highestToken.getAsLong());
    }

    /** Applies the epoch and token of a peer's digest. */
    void received(Peer peer, StoreEpochSection section) {
        peer.storeEpoch(section.epoch());
        history.epochReported(peer.name(), section.epoch());
        tokenReceived.accept(section.token());
    }

    /**
     * Returns whether a leaf of an older build holds a list of a history that the store has lost,
     * so that it would reject every change as outdated.
     *
     * @param leaf the leaf
     * @param ownRevision revision of the list of this process; 0 if none of the current history is
     *     known
     * @param nowMillis the current time, in milliseconds
     */
    boolean holdsLostHistory(Peer leaf, long ownRevision, long nowMillis) {
        return leaf.storeEpoch() == 0
                && history.epoch() != 0
                && nowMillis - changedMillis < OUTDATED_LEAF_MILLIS
                && ownRevision > 0
                && leaf.directoryRevision() > ownRevision;
    }
}
