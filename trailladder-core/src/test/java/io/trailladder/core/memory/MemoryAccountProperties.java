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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Checks that the account matches the open reservations at all times, and that levels do not flap.
 */
class MemoryAccountProperties {
    private static final String SEED = "20261202";
    private static final long BUDGET = 1_000;

    @Property(tries = 300, seed = SEED)
    void totalIsTheSumOfOpenReservations(
            @ForAll long seed, @ForAll @IntRange(max = 400) int steps) {
        Random random = new Random(seed);
        MemoryAccount account = new MemoryAccount(new MemoryBudget(BUDGET));
        List<MemoryAccount.Reservation> open = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            int action = random.nextInt(4);
            if (action == 0 || open.isEmpty()) {
                ReservationKind[] kinds = ReservationKind.values();
                open.add(account.open(kinds[random.nextInt(kinds.length)]));
            } else if (action == 1) {
                MemoryAccount.Reservation closed = open.remove(random.nextInt(open.size()));
                closed.close();
                closed.set(random.nextInt(100));
                closed.close();
            } else {
                open.get(random.nextInt(open.size())).set(random.nextInt(200));
            }
            long sum = open.stream().mapToLong(MemoryAccount.Reservation::bytes).sum();
            assertEquals(sum, account.total());
            assertTrue(account.peak() >= sum);
        }
        open.forEach(MemoryAccount.Reservation::close);
        assertEquals(0, account.total());
        for (ReservationKind kind : ReservationKind.values()) {
            assertEquals(0, account.reserved(kind), kind.name());
        }
        assertEquals(MemoryLevel.CALM, account.level());
    }

    /** Guards against a budget that is exceeded because the owners of bytes decide too late. */
    @Property(tries = 300, seed = SEED)
    void reservationsNeverExceedTheBudget(
            @ForAll long seed, @ForAll @IntRange(min = 10, max = 400) int steps) {
        Random random = new Random(seed);
        MemoryAccount account = new MemoryAccount(new MemoryBudget(BUDGET));
        List<MemoryAccount.Reservation> open = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            open.add(account.open(ReservationKind.ANSWERS_WAITING));
        }
        for (int step = 0; step < steps; step++) {
            MemoryAccount.Reservation chosen = open.get(random.nextInt(open.size()));
            long before = chosen.bytes();
            long now = random.nextInt(400);
            boolean fits = account.total() - before + now <= BUDGET;
            assertEquals(fits || now <= before, chosen.set(now));
            assertEquals(fits || now <= before ? now : before, chosen.bytes());
            assertTrue(account.peak() <= BUDGET, () -> account.peak() + " bytes reserved");
        }
    }

    @Example
    void levelsEndLowerThanTheyBegin() {
        MemoryAccount account = new MemoryAccount(new MemoryBudget(BUDGET));
        List<MemoryLevel> seen = new ArrayList<>();
        account.setLevelListener((before, now) -> seen.add(now));
        MemoryAccount.Reservation reservation = account.open(ReservationKind.ANSWERS_WAITING);
        for (long bytes : new long[] {599, 600, 500, 460, 849, 850, 800, 700, 699, 450, 449, 500}) {
            reservation.set(bytes);
        }
        assertEquals(
                List.of(
                        MemoryLevel.PRESSED,
                        MemoryLevel.FULL,
                        MemoryLevel.PRESSED,
                        MemoryLevel.CALM),
                seen);
    }

    @Example
    void requestThatWouldFillTheProcessHasNoCapacity() {
        MemoryAccount account = new MemoryAccount(new MemoryBudget(BUDGET));
        assertFalse(account.hasCapacity(BUDGET));
        assertTrue(account.hasCapacity(BUDGET / 2));
        account.open(ReservationKind.REQUESTS).set(BUDGET / 2);
        assertFalse(account.hasCapacity(BUDGET / 2));
        account.open(ReservationKind.REQUESTS).set(BUDGET / 2);
        assertFalse(account.hasCapacity(0));
    }

    @Example
    void limitThatIsAbsentOrTooSmallLeavesAConservativeBudget() {
        long heap = 160L << 20;
        long known = MemoryBudget.of(330L << 20, heap).bytes();
        long unknown = MemoryBudget.of(0, heap).bytes();
        long smallest = MemoryBudget.of(1, heap).bytes();
        assertTrue(0 < smallest && smallest < unknown && unknown < known);
        assertTrue(known <= heap / 2);
        assertTrue(known <= (330L << 20) - MemoryBudget.RUNTIME_BYTES);
        assertTrue(MemoryBudget.fits(330L << 20));
        assertFalse(MemoryBudget.fits(1));
    }
}
