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
 * The one account of what a process holds for others. Everything that holds bytes opens a {@link
 * Holding}, tells it how many they are whenever that changes, and closes it; there is no other way
 * to take or give back. To take and give back costs a few additions and no allocation.
 *
 * <p>The account refuses nothing by itself: what keeps the process alive is never stopped by it.
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

    /** Told of each change of the level, inside the call that brought it about. */
    @FunctionalInterface
    public interface LevelListener {
        /**
         * The level has changed.
         *
         * @param before the level that was left
         * @param now the level that holds
         */
        void levelChanged(MemoryLevel before, MemoryLevel now);
    }

    /**
     * Creates an empty account.
     *
     * @param budget what may be held
     */
    public MemoryAccount(MemoryBudget budget) {
        this.budget = budget;
        for (ReservationKind kind : ReservationKind.values()) {
            reserved.put(kind, new Sum());
        }
    }

    /**
     * Sets who is told of levels.
     *
     * @param told the listener
     */
    public void setLevelListener(LevelListener told) {
        listener = told;
    }

    /**
     * Opens a holding of nothing.
     *
     * @param kind what it holds bytes for
     * @return the holding, to be closed
     */
    public Reservation open(ReservationKind kind) {
        return new Reservation(reserved.get(kind));
    }

    /**
     * Returns the budget.
     *
     * @return what may be held
     */
    public MemoryBudget budget() {
        return budget;
    }

    /**
     * Returns the level.
     *
     * @return the level that holds now
     */
    public MemoryLevel level() {
        return level;
    }

    /**
     * Returns what is held of a kind.
     *
     * @param kind the kind
     * @return bytes
     */
    public long reserved(ReservationKind kind) {
        return reserved.get(kind).bytes;
    }

    /**
     * Returns what is held of all kinds.
     *
     * @return bytes
     */
    public long total() {
        return total;
    }

    /**
     * Returns the most that was ever held.
     *
     * @return bytes
     */
    public long peak() {
        return peak;
    }

    /**
     * Tells whether a request may be taken in.
     *
     * @param bytes what it would hold, as far as is known
     * @return false if the process is full, or would be with it
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

    /** What is held of one kind. */
    private static final class Sum {
        private long bytes;
    }

    /** Bytes held by one holder. */
    public final class Reservation {
        private final Sum kind;
        private long bytes;
        private boolean closed;

        private Reservation(Sum kind) {
            this.kind = kind;
        }

        /**
         * Tells how many bytes are held from now on. A holding that was closed holds none: what
         * arrives for it later is dropped by its holder.
         *
         * @param now bytes, at least 0
         */
        public void set(long now) {
            if (!closed && now != bytes) {
                long more = now - bytes;
                bytes = now;
                add(kind, more);
            }
        }

        /**
         * Returns what is held.
         *
         * @return bytes
         */
        public long bytes() {
            return bytes;
        }

        /** Gives everything back; to close again does nothing. */
        public void close() {
            set(0);
            closed = true;
        }
    }
}
