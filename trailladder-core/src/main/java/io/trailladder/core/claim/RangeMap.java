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
package io.trailladder.core.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * The assignment of all ranges. It is stored as one value in the platform's key-value service and
 * changed only by compare-and-swap.
 *
 * @param ranges one assignment for each range
 * @since 0.1
 */
public record RangeMap(List<RangeAssignment> ranges) {
    /** The number of ranges of an installation that does not configure another. */
    public static final int DEFAULT_RANGES = 64;

    /** Copies the list. */
    public RangeMap {
        ranges = List.copyOf(ranges);
    }

    /**
     * Creates the map of a new installation.
     *
     * @param ranges number of ranges that the keys are split into, which cannot be changed later
     * @return a map in which no range has an owner
     */
    public static RangeMap fresh(int ranges) {
        return new RangeMap(Collections.nCopies(ranges, RangeAssignment.NONE));
    }

    /**
     * Returns the assignment of one range.
     *
     * @param range the range's number
     * @return its assignment
     */
    public RangeAssignment get(int range) {
        return ranges.get(range);
    }

    /**
     * Returns a map with some assignments replaced.
     *
     * @param changes the new assignments by range
     * @return the changed map
     */
    public RangeMap with(Map<Integer, RangeAssignment> changes) {
        List<RangeAssignment> next = new ArrayList<>(ranges);
        changes.forEach(next::set);
        return new RangeMap(next);
    }
}
