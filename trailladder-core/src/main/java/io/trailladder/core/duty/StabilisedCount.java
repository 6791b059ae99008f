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

/** A number that follows another one only after that has differed for some time. */
final class StabilisedCount {
    private final long growAfterMillis;
    private final long shrinkAfterMillis;
    private int value = -1;
    private long differsSinceMillis;
    private int nearestWanted;

    /**
     * Creates a number without a value.
     *
     * @param growAfterMillis how long more must be wanted before it grows, in milliseconds
     * @param shrinkAfterMillis how long less must be wanted before it shrinks, in milliseconds
     */
    StabilisedCount(long growAfterMillis, long shrinkAfterMillis) {
        this.growAfterMillis = growAfterMillis;
        this.shrinkAfterMillis = shrinkAfterMillis;
    }

    /**
     * Takes what is wanted now. After the time to grow or shrink the number becomes what was wanted
     * all along: the least of what was more, or the most of what was less.
     *
     * @param wanted what is wanted
     * @param nowMillis the time
     * @return the number
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
        nearestWanted = wanted > value ? Math.min(nearestWanted, wanted) : Math.max(nearestWanted, wanted);
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

    /** Raises the number to a least one. */
    void raiseTo(int least) {
        if (least > value) {
            value = least;
            nearestWanted = least;
        }
    }

    /** Replaces the number. */
    void set(int replaced) {
        value = replaced;
        nearestWanted = replaced;
    }

    /** Keeps the number from shrinking now, and raises it to a least one. */
    void holdAtLeast(int least, long nowMillis) {
        raiseTo(least);
        if (nearestWanted < value) {
            nearestWanted = value;
            differsSinceMillis = nowMillis;
        }
    }

    int value() {
        return value;
    }
}
