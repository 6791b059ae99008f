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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against more retries in a window than the ratio and the shared allowance permit. */
class WindowedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 52;
    private static final long WINDOW = 10_000;

    @Property
    void entriesTogetherStayWithinTheBound(
            @ForAll @IntRange(min = 1, max = 12) int entries,
            @ForAll @IntRange(min = 0, max = 300) int requests) {
        int retries = 0;
        for (int entry = 0; entry < entries; entry++) {
            WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW, 0);
            for (int i = 0; i < requests; i++) {
                budget.requested(i);
            }
            while (budget.tryRetry(entries, WINDOW / 2)) {
                retries++;
            }
        }
        assertTrue(retries <= RATIO * requests * entries + ALLOWANCE);
    }

    @Example
    void oldRequestsNoLongerCount() {
        WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, 0, WINDOW, 0);
        for (int i = 0; i < 100; i++) {
            budget.requested(0);
        }
        assertTrue(budget.tryRetry(1, 1));
        assertFalse(budget.tryRetry(1, 2 * WINDOW));
    }

    /** Guards against retries that are forgotten before the window that contains them ends. */
    @Property(tries = 200, seed = "20261203")
    void noWindowOfAnyStartExceedsTheBound(
            @ForAll @IntRange(min = 1, max = 99) int firstBurst,
            @ForAll @IntRange(min = 8_000, max = 10_100) int pause) {
        WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW, 0);
        TreeMap<Long, Integer> retries = new TreeMap<>();
        long lastMillis = 3 * WINDOW;
        for (long now = 0; now < lastMillis; now++) {
            if (now % 10 == 0) {
                budget.requested(now);
            }
            boolean failing = now % pause / 100 == firstBurst;
            while (failing && budget.tryRetry(1, now)) {
                retries.merge(now, 1, Integer::sum);
            }
        }
        assertNoWindowExceeds(retries, RATIO * WINDOW / 10 + ALLOWANCE);
    }

    /** Guards against each incarnation using what a whole window earns, with nothing remembered. */
    @Property(tries = 200, seed = "20261203")
    void incarnationsTogetherStayWithinTheBound(
            @ForAll @IntRange(min = 100, max = 12_000) int firstLife,
            @ForAll @IntRange(min = 100, max = 12_000) int nextLives) {
        WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW, WINDOW);
        TreeMap<Long, Integer> retries = new TreeMap<>();
        long endOfLife = WINDOW + firstLife;
        for (long now = 0; now < 4 * WINDOW; now++) {
            if (now == endOfLife) {
                budget = new WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW, now + WINDOW);
                endOfLife += nextLives;
            }
            if (now % 10 == 0) {
                budget.requested(now);
            }
            while (now > WINDOW && budget.tryRetry(1, now)) {
                retries.merge(now, 1, Integer::sum);
            }
        }
        assertNoWindowExceeds(retries, RATIO * WINDOW / 10 + ALLOWANCE);
    }

    /** Guards against retries that are sent seconds after they were taken, with those of then. */
    @Example
    void retriesCountWhenTheyAreSent() {
        WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW, 0);
        List<Long> taken = new ArrayList<>();
        while (budget.tryRetry(1, 0)) {
            taken.add(0L);
        }
        taken.forEach(takenMillis -> budget.sentLater(takenMillis, 6_000));
        assertFalse(budget.tryRetry(1, WINDOW + 5_000), "retries sent 9 s ago are forgotten");
        assertTrue(budget.tryRetry(1, WINDOW + 7_000));
    }

    @Example
    void retriesThatAreNotMadeAreGivenBack() {
        WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW, 0);
        int left = budget.left(1, 0);
        assertTrue(budget.tryRetry(1, 0));
        assertEquals(left - 1, budget.left(1, 0));
        budget.giveBack(0);
        assertEquals(left, budget.left(1, 0));
    }

    private static void assertNoWindowExceeds(NavigableMap<Long, Integer> retries, double max) {
        for (long end : retries.keySet()) {
            int made =
                    retries.subMap(end - WINDOW, false, end, true).values().stream()
                            .mapToInt(count -> count)
                            .sum();
            assertTrue(made <= max, made + " until " + end);
        }
    }
}
