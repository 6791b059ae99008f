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
 * How many bytes a process may hold for others, and where its levels begin and end. Each level ends
 * lower than it begins, so that one answer more or less does not change it back and forth.
 *
 * @param bytes the whole budget
 * @since 0.2
 */
public record MemoryBudget(long bytes) {
    /**
     * What the runtime takes of the limit beside what is held, in bytes. A gateway started with the
     * flags that it is deployed with had 57 MB resident 8 s after its start, 3 MB of that live
     * heap; as much again is left for compiled code, stacks and garbage that work leaves.
     */
    public static final long RUNTIME_BYTES = 112L << 20;

    /**
     * Part of the heap that may be held: as much again is needed for the copies that a write makes,
     * for objects round the bytes, and for garbage.
     */
    private static final int HEAP_DIVISOR = 2;

    /** Held at least, in bytes, whatever the limit: some hundred usual requests. */
    private static final long MIN_BYTES = 8L << 20;

    /** Parts of the budget, in hundredths, at which levels begin and end. */
    private static final int PRESSED_FROM_PERCENT = 60;

    private static final int PRESSED_UNTIL_PERCENT = 45;
    private static final int FULL_FROM_PERCENT = 85;
    private static final int FULL_UNTIL_PERCENT = 70;
    private static final int PERCENT_DIVISOR = 100;

    /** Part of the budget that one answer may stand at before it is weighed whether it goes on. */
    private static final int ANSWER_DIVISOR = 16;

    /**
     * Derives the budget.
     *
     * @param limitBytes what the process may take in all; 0 if not known
     * @param heapBytes largest heap of the process
     * @return the budget; conservative if the limit is unknown, or below what the runtime takes
     */
    public static MemoryBudget of(long limitBytes, long heapBytes) {
        long heap = heapBytes / HEAP_DIVISOR;
        if (limitBytes <= 0) {
            return new MemoryBudget(Math.max(MIN_BYTES, heap / HEAP_DIVISOR));
        }
        long left = Math.min(limitBytes - RUNTIME_BYTES, heap);
        return new MemoryBudget(Math.max(MIN_BYTES, left));
    }

    /**
     * Tells whether a limit leaves the least budget beside the runtime.
     *
     * @param limitBytes what the process may take in all
     * @return false if the process may outgrow it although the account is kept
     */
    public static boolean fits(long limitBytes) {
        return limitBytes >= RUNTIME_BYTES + MIN_BYTES;
    }

    /**
     * Returns the bound of one answer.
     *
     * @return how many bytes of one answer are held without question
     */
    public long answerBytes() {
        return bytes / ANSWER_DIVISOR;
    }

    /**
     * Returns down to what a full process makes room.
     *
     * @return bytes below which it is only pressed
     */
    public long fullUntil() {
        return percentOfBudget(FULL_UNTIL_PERCENT);
    }

    /**
     * Returns what may be held before the process is full.
     *
     * @return bytes from which it is
     */
    public long fullFrom() {
        return percentOfBudget(FULL_FROM_PERCENT);
    }

    MemoryLevel level(MemoryLevel before, long held) {
        if (held >= percentOfBudget(FULL_FROM_PERCENT) || (before == MemoryLevel.FULL && held >= percentOfBudget(FULL_UNTIL_PERCENT))) {
            return MemoryLevel.FULL;
        }
        boolean pressed = before != MemoryLevel.CALM && held >= percentOfBudget(PRESSED_UNTIL_PERCENT);
        return pressed || held >= percentOfBudget(PRESSED_FROM_PERCENT) ? MemoryLevel.PRESSED : MemoryLevel.CALM;
    }

    private long percentOfBudget(int hundredths) {
        return bytes / PERCENT_DIVISOR * hundredths;
    }
}
