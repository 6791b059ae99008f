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
package io.trailladder.core.store;

/**
 * The epoch of the history of the platform's store, as known to one process.
 *
 * <p>The epoch rises when the store is restored without some of the writes that it had
 * acknowledged. Its revisions and leases are then assigned again, so those of two epochs cannot be
 * compared.
 *
 * <pre>{@code
 * StoreEpoch epoch = new StoreEpoch();
 * epoch.observe(3); // CURRENT: the first known epoch
 * epoch.observe(4); // NEW
 * epoch.observe(3); // OLD: a late answer
 * }</pre>
 *
 * @since 0.5
 */
public final class StoreEpoch {
    /**
     * Maximum number of epochs between two observed ones. A number further ahead is treated as
     * invalid.
     */
    static final long MAX_AHEAD = 1_000;

    /** Maximum valid epoch. */
    static final long MAX_EPOCH = Integer.MAX_VALUE;

    private long current;

    /** Meaning of an observed epoch. */
    public enum Observation {
        /** It is the current epoch, the first known one, or none. */
        CURRENT,
        /**
         * It has just become the current epoch; what is known of the store belongs to another
         * history.
         */
        NEW,
        /** It is an earlier epoch. */
        OLD,
        /** It is invalid: negative, above the maximum, or too far ahead of the current epoch. */
        UNSOUND
    }

    /**
     * Records an epoch that the store or a peer reports.
     *
     * @param epoch the epoch; 0 if none was reported
     * @return the meaning of the epoch
     */
    public Observation observe(long epoch) {
        if (epoch == 0 || epoch == current) {
            return Observation.CURRENT;
        }
        boolean tooFar = current > 0 && epoch - current > MAX_AHEAD;
        if (epoch < 0 || epoch > MAX_EPOCH || tooFar) {
            return Observation.UNSOUND;
        }
        if (epoch < current) {
            return Observation.OLD;
        }
        boolean first = current == 0;
        current = epoch;
        return first ? Observation.CURRENT : Observation.NEW;
    }

    /**
     * Returns the current epoch.
     *
     * @return the epoch; 0 if none was reported yet
     */
    public long current() {
        return current;
    }
}
