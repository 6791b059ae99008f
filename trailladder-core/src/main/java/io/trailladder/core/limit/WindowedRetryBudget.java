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
package io.trailladder.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the second and later attempts of the requests of one service at this entry within a
 * sliding window, to a part of the requests of that window plus this entry's part of a fixed
 * allowance.
 *
 * <p>The bound holds over restarts, which lose all counts. An entry that has run for a whole window
 * may use {@link #SETTLED_PART} of the budget, and nothing that an earlier incarnation used lies in
 * the same window. Until then it may use the rest, paid by requests of its own incarnation, so that
 * any number of incarnations within a window together stay within that rest.
 *
 * <pre>{@code
 * WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 52, 10_000, startedMillis + 10_000);
 * budget.requested(nowMillis);
 * boolean allowed = budget.tryRetry(entries, nowMillis);
 * }</pre>
 *
 * @since 0.2
 */
public final class WindowedRetryBudget {
    private static final int SLICES = 20;

    /** Part of the budget of an entry that has run for a whole window. */
    static final double SETTLED_PART = 0.7;

    private final double ratio;
    private final double allowance;
    private final long sliceMillis;
    private final long settledMillis;
    private final Deque<Slice> slices = new ArrayDeque<>();

    /** Counts of one slice of the window. */
    private static final class Slice {
        final long number;
        int requests;
        int retries;

        Slice(long number) {
            this.number = number;
        }
    }

    /**
     * Creates a budget.
     *
     * @param ratio the number of retries allowed for each request
     * @param allowance the number of additional retries allowed in each window, over all entries
     * @param windowMillis length of the window, in milliseconds
     * @param settledMillis from when on no window contains retries of an earlier incarnation of
     *     this entry, in milliseconds
     */
    public WindowedRetryBudget(
            double ratio, double allowance, long windowMillis, long settledMillis) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.sliceMillis = Math.max(1, windowMillis / SLICES);
        this.settledMillis = settledMillis;
    }

    /**
     * Records the first attempt of a request.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void requested(long nowMillis) {
        slice(nowMillis).requests++;
    }

    /**
     * Takes one retry if the window has one left.
     *
     * @param entries the number of entries that share the allowance; 0 if it is not known, and this
     *     entry has no part of it
     * @param nowMillis the current time, in milliseconds
     * @return true if the retry may be made
     */
    public boolean tryRetry(int entries, long nowMillis) {
        if (left(entries, nowMillis) < 1) {
            return false;
        }
        slice(nowMillis).retries++;
        return true;
    }

    /**
     * Counts a retry at the time at which it is sent instead of the time at which it was taken.
     *
     * @param takenMillis when {@link #tryRetry} allowed it, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void sentLater(long takenMillis, long nowMillis) {
        giveBack(takenMillis);
        slice(nowMillis).retries++;
    }

    /**
     * Gives back a retry that is not made.
     *
     * @param takenMillis when {@link #tryRetry} allowed it, in milliseconds
     */
    public void giveBack(long takenMillis) {
        for (Slice slice : slices) {
            if (slice.number == takenMillis / sliceMillis) {
                slice.retries--;
            }
        }
    }

    /**
     * Returns how many retries the window has left.
     *
     * @param entries the number of entries that share the allowance; 0 if it is not known, and this
     *     entry has no part of it
     * @param nowMillis the current time, in milliseconds
     * @return a number of retries; 0 if there is none
     */
    public int left(int entries, long nowMillis) {
        long firstInside = slice(nowMillis).number - SLICES + 1;
        int requests = 0;
        int retries = 0;
        for (Slice slice : slices) {
            // a slice that lies only partly inside the window still contains retries of the window
            requests += slice.number >= firstInside ? slice.requests : 0;
            retries += slice.retries;
        }
        return (int) Math.max(0, Math.floor(max(requests, entries, nowMillis) - retries));
    }

    private double max(int requests, int entries, long nowMillis) {
        if (nowMillis < settledMillis) {
            return (1 - SETTLED_PART) * ratio * requests;
        }
        double part = entries > 0 ? allowance / entries : 0;
        return SETTLED_PART * (ratio * requests + part);
    }

    private Slice slice(long nowMillis) {
        long number = nowMillis / sliceMillis;
        while (!slices.isEmpty() && slices.peekFirst().number < number - SLICES) {
            slices.removeFirst();
        }
        Slice last = slices.peekLast();
        if (last == null || last.number < number) {
            last = new Slice(number);
            slices.addLast(last);
        }
        return last;
    }
}
