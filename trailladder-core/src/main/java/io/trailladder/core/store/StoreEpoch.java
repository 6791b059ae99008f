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
 * The number of the platform's store's history, as one process knows it.
 *
 * <p>The number rises when the store comes back without some of what it had acknowledged. Its
 * revisions and leases are then given out again, so those of two epochs say nothing of each other.
 *
 * <pre>{@code
 * StoreEpoch epoch = new StoreEpoch();
 * epoch.named(3); // CURRENT: the first that is known
 * epoch.named(4); // NEW
 * epoch.named(3); // OLD: an answer that came late
 * }</pre>
 *
 * @since 0.5
 */
public final class StoreEpoch {
    /** Most epochs that may pass unheard: a number further ahead is taken for a spoiled one. */
    static final long MAX_AHEAD = 1_000;

    /** Highest number that is taken for one at all. */
    static final long MAX_EPOCH = Integer.MAX_VALUE;

    private long current;

    /** What a named epoch says. */
    public enum Observation {
        /** It is the current one, the first that is known, or none. */
        CURRENT,
        /** It has just become the current one; what is known of the store is of another history. */
        NEW,
        /** It is an earlier one. */
        OLD,
        /** It cannot be true. */
        UNSOUND
    }

    /**
     * Takes an epoch in that the store or a peer names.
     *
     * @param epoch the number; 0 if none was named
     * @return what that means
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
     * @return the number; 0 if none was named yet
     */
    public long current() {
        return current;
    }
}
