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

/** What peers tell each other of the store's epoch and of leaders' tokens, and when. */
final class EpochUpdates {
    /** How often digests tell the epoch, in milliseconds: it hardly ever changes. */
    private static final long SEND_INTERVAL_MILLIS = 1_000;

    /** For how long each digest tells an epoch that has changed, in milliseconds. */
    private static final long CHANGE_REPEAT_MILLIS = 5_000;

    /** For how long after a change leaves may have been left behind, in milliseconds. */
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
     * Has the highest fencing token that is known here told as well.
     *
     * @param highest tells it
     * @param told hears what peers tell
     */
    void tokens(LongSupplier highest, LongConsumer told) {
        highestToken = highest;
        tokenReceived = told;
    }

    /** Records that the history was replaced just now. */
    void changed(long nowMillis) {
        changedMillis = nowMillis;
    }

    /** Has the next digest tell, since its receiver has heard nothing yet. */
    void sendWithNext() {
        sentMillis = Long.MIN_VALUE / 2;
    }

    /** Returns what digests tell now; nothing most of the time. */
    StoreEpochSection next(long nowMillis) {
        boolean isNews = nowMillis - changedMillis < CHANGE_REPEAT_MILLIS;
        if (!isNews && nowMillis - sentMillis < SEND_INTERVAL_MILLIS) {
            return StoreEpochSection.NONE;
        }
        sentMillis = nowMillis;
        return new StoreEpochSection(history.epoch(), highestToken.getAsLong());
    }

    /** Takes over what a peer's digest tells. */
    void received(Peer peer, StoreEpochSection section) {
        peer.storeEpoch(section.epoch());
        history.epochReported(peer.name(), section.epoch());
        tokenReceived.accept(section.token());
    }

    /**
     * Tells whether a leaf of an older build holds a list of a history that the store has lost, and
     * would take every change for older.
     *
     * @param leaf the leaf
     * @param ownRevision revision of the list here; 0 if none of the current history is known
     * @param nowMillis the time
     */
    boolean holdsLostHistory(Peer leaf, long ownRevision, long nowMillis) {
        return leaf.storeEpoch() == 0
                && history.epoch() != 0
                && nowMillis - changedMillis < OUTDATED_LEAF_MILLIS
                && ownRevision > 0
                && leaf.directoryRevision() > ownRevision;
    }
}
