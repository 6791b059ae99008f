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

/**
 * The number of bytes that a process may reserve for callers, upstreams and peers, and the bounds
 * of its levels. Each level ends lower than it begins, so that one answer more or less does not
 * change it back and forth.
 *
 * @param bytes the whole budget, in bytes
 * @since 0.2
 */
public record MemoryBudget(long bytes) {
    /**
     * Part of the process limit that the runtime takes in addition to reserved bytes. A gateway
     * with the flags of a deployment has 57 MB resident 8 s after its start, 3 MB of that live
     * heap; as much again is left for compiled code, stacks and garbage under load.
     */
    public static final long RUNTIME_BYTES = 112L << 20;

    /**
     * Divisor of the heap that gives the part to reserve: as much again is needed for the copies
     * that a write makes, for the objects around the bytes, and for garbage.
     */
    private static final int HEAP_DIVISOR = 2;

    /** Smallest budget, in bytes, whatever the limit: some hundred usual requests. */
    private static final long MIN_BYTES = 8L << 20;

    /** Percentages of the budget at which levels begin and end. */
    private static final int PRESSED_FROM_PERCENT = 60;

    private static final int PRESSED_UNTIL_PERCENT = 45;
    private static final int FULL_FROM_PERCENT = 85;
    private static final int FULL_UNTIL_PERCENT = 70;
    private static final int PERCENT_DIVISOR = 100;

    /**
     * Divisor of the budget that gives the size above which it is decided whether an answer may
     * continue.
     */
    private static final int ANSWER_DIVISOR = 16;

    /**
     * Derives the budget from the limits of the process.
     *
     * @param limitBytes memory limit of the process, in bytes; 0 if unknown
     * @param heapBytes maximum heap of the process, in bytes
     * @return the budget; conservative if the limit is unknown, or lower than what the runtime
     *     takes
     */
    public static MemoryBudget of(long limitBytes, long heapBytes) {
        long heap = heapBytes / HEAP_DIVISOR;
        if (limitBytes <= 0) {
            return new MemoryBudget(Math.max(MIN_BYTES, heap / HEAP_DIVISOR));
        }
        long available = Math.min(limitBytes - RUNTIME_BYTES, heap);
        return new MemoryBudget(Math.max(MIN_BYTES, available));
    }

    /**
     * Returns whether a limit is large enough for the runtime and the smallest budget.
     *
     * @param limitBytes memory limit of the process, in bytes
     * @return false if the process may exceed the limit although it keeps to its budget
     */
    public static boolean fits(long limitBytes) {
        return limitBytes >= RUNTIME_BYTES + MIN_BYTES;
    }

    /**
     * Returns the size up to which one answer may grow without a further check.
     *
     * @return number of bytes
     */
    public long answerBytes() {
        return bytes / ANSWER_DIVISOR;
    }

    /**
     * Returns the reserved bytes below which a process is no longer full; a full process frees
     * memory down to this number.
     *
     * @return number of bytes
     */
    public long fullUntil() {
        return percentOfBudget(FULL_UNTIL_PERCENT);
    }

    /**
     * Returns the reserved bytes from which a process is full.
     *
     * @return number of bytes
     */
    public long fullFrom() {
        return percentOfBudget(FULL_FROM_PERCENT);
    }

    MemoryLevel level(MemoryLevel before, long reserved) {
        if (reserved >= percentOfBudget(FULL_FROM_PERCENT)
                || (before == MemoryLevel.FULL
                        && reserved >= percentOfBudget(FULL_UNTIL_PERCENT))) {
            return MemoryLevel.FULL;
        }
        boolean pressed =
                before != MemoryLevel.CALM && reserved >= percentOfBudget(PRESSED_UNTIL_PERCENT);
        return pressed || reserved >= percentOfBudget(PRESSED_FROM_PERCENT)
                ? MemoryLevel.PRESSED
                : MemoryLevel.CALM;
    }

    private long percentOfBudget(int percent) {
        return bytes / PERCENT_DIVISOR * percent;
    }
}
