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
package io.trailladder.core.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * Accounts for all bytes that a process keeps for callers, upstreams and peers. Every object that
 * keeps such bytes opens a {@link Reservation}, sets its size whenever the number of bytes changes,
 * and closes it; bytes are reserved and released in no other way. A change of size costs a few
 * additions and no allocation.
 *
 * <p>The sum of all reservations never exceeds the budget: a reservation that would is refused, and
 * its owner must drop the bytes. Bytes that the process itself needs to keep running are not
 * reserved, so a refusal never stops that work.
 *
 * @since 0.2
 */
public final class MemoryAccount {
    private final MemoryBudget budget;
    private final Map<ReservationKind, Sum> reserved = new EnumMap<>(ReservationKind.class);
    private LevelListener listener = (before, now) -> {};
    private MemoryLevel level = MemoryLevel.CALM;
    private long total;
    private long peak;

    /** Is notified of each change of the level, within the call that causes it. */
    @FunctionalInterface
    public interface LevelListener {
        /**
         * Handles a change of the level.
         *
         * @param before the previous level
         * @param now the present level
         */
        void levelChanged(MemoryLevel before, MemoryLevel now);
    }

    /**
     * Creates an empty account.
     *
     * @param budget the number of bytes that may be reserved, and the levels
     */
    public MemoryAccount(MemoryBudget budget) {
        this.budget = budget;
        for (ReservationKind kind : ReservationKind.values()) {
            reserved.put(kind, new Sum());
        }
    }

    /**
     * Sets the listener that is notified of changes of the level, in place of the previous one.
     *
     * @param newListener the listener
     */
    public void setLevelListener(LevelListener newListener) {
        listener = newListener;
    }

    /**
     * Opens a reservation of 0 bytes.
     *
     * @param kind what the bytes are reserved for
     * @return the reservation, which the caller must close
     */
    public Reservation open(ReservationKind kind) {
        return new Reservation(reserved.get(kind));
    }

    /**
     * Returns the budget.
     *
     * @return the number of bytes that may be reserved, and the levels
     */
    public MemoryBudget budget() {
        return budget;
    }

    /**
     * Returns the level.
     *
     * @return the present level
     */
    public MemoryLevel level() {
        return level;
    }

    /**
     * Returns the reserved bytes of a kind.
     *
     * @param kind the kind
     * @return bytes
     */
    public long reserved(ReservationKind kind) {
        return reserved.get(kind).bytes;
    }

    /**
     * Returns the reserved bytes of all kinds.
     *
     * @return bytes
     */
    public long total() {
        return total;
    }

    /**
     * Returns the largest total since the account was created.
     *
     * @return bytes
     */
    public long peak() {
        return peak;
    }

    /**
     * Returns whether a request may be accepted.
     *
     * @param bytes bytes that the request would reserve, as far as known
     * @return false if the level is {@link MemoryLevel#FULL}, or would be with the request
     */
    public boolean hasCapacity(long bytes) {
        return level != MemoryLevel.FULL && total + bytes < budget.fullFrom();
    }

    private void add(Sum kind, long bytes) {
        kind.bytes += bytes;
        total += bytes;
        peak = Math.max(peak, total);
        MemoryLevel before = level;
        level = budget.level(before, total);
        if (level != before) {
            listener.levelChanged(before, level);
        }
    }

    /** The reserved bytes of one kind. */
    private static final class Sum {
        private long bytes;
    }

    /** Bytes reserved by one object, such as a connection or an answer. */
    public final class Reservation {
        private final Sum kind;
        private long bytes;
        private boolean closed;

        private Reservation(Sum kind) {
            this.kind = kind;
        }

        /**
         * Sets the number of reserved bytes. Has no effect on a closed reservation, whose owner
         * drops what arrives later.
         *
         * @param now bytes, at least 0
         * @return false if the budget has no room for them; nothing is changed then, and the owner
         *     must not keep the bytes. A decrease always succeeds.
         */
        public boolean set(long now) {
            long added = now - bytes;
            if (closed || added == 0) {
                return true;
            }
            if (added > 0 && added > budget.bytes() - total) {
                return false;
            }
            bytes = now;
            add(kind, added);
            return true;
        }

        /**
         * Returns the number of reserved bytes.
         *
         * @return bytes
         */
        public long bytes() {
            return bytes;
        }

        /** Releases all bytes. Closing again has no effect. */
        public void close() {
            set(0);
            closed = true;
        }
    }
}
