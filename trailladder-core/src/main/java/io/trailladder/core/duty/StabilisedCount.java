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
package io.trailladder.core.duty;

/**
 * A count that changes to a wanted value only after the wanted value has differed for some time.
 */
final class StabilisedCount {
    private final long growAfterMillis;
    private final long shrinkAfterMillis;
    private int value = -1;
    private long differsSinceMillis;
    private int nearestWanted;

    /**
     * Creates a count without a value.
     *
     * @param growAfterMillis time for which more must be wanted before the count grows, in
     *     milliseconds
     * @param shrinkAfterMillis time for which less must be wanted before the count shrinks, in
     *     milliseconds
     */
    StabilisedCount(long growAfterMillis, long shrinkAfterMillis) {
        this.growAfterMillis = growAfterMillis;
        this.shrinkAfterMillis = shrinkAfterMillis;
    }

    /**
     * Records the wanted value. After the time to grow or to shrink, the count takes the value
     * nearest to it that was wanted during that time: the minimum of the higher values, or the
     * maximum of the lower ones.
     *
     * @param wanted the wanted value
     * @param nowMillis the current time, in milliseconds
     * @return the count
     */
    int update(int wanted, long nowMillis) {
        if (value < 0) {
            value = wanted;
        }
        boolean sameSide = wanted != value && Integer.signum(wanted - value) == direction();
        if (!sameSide) {
            differsSinceMillis = nowMillis;
            nearestWanted = wanted;
        }
        nearestWanted =
                wanted > value ? Math.min(nearestWanted, wanted) : Math.max(nearestWanted, wanted);
        long after = wanted > value ? growAfterMillis : shrinkAfterMillis;
        if (wanted != value && nowMillis - differsSinceMillis >= after) {
            value = nearestWanted;
            nearestWanted = value;
        }
        return value;
    }

    private int direction() {
        return Integer.signum(nearestWanted - value);
    }

    /** Raises the count to a minimum. */
    void raiseTo(int min) {
        if (min > value) {
            value = min;
            nearestWanted = min;
        }
    }

    /** Replaces the count. */
    void set(int replaced) {
        value = replaced;
        nearestWanted = replaced;
    }

    /** Restarts the time to shrink, and raises the count to a minimum. */
    void holdAtLeast(int min, long nowMillis) {
        raiseTo(min);
        if (nearestWanted < value) {
            nearestWanted = value;
            differsSinceMillis = nowMillis;
        }
    }

    int value() {
        return value;
    }
}
