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
package io.trailladder.entry.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import net.jqwik.api.Example;

class SteadyClockTest {
    private static final long BEGIN = 1_700_000_000_000L;

    private long steady = 500;
    private long jump;
    private final SteadyClock clock = new SteadyClock(new MachineClock(), () -> steady);

    /** The true time and the error of the system clock. */
    private final class MachineClock extends Clock {
        @Override
        public long millis() {
            return BEGIN + steady + jump;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }

    private void shows(long expectedOffset) {
        assertEquals(BEGIN + steady + expectedOffset, clock.millis());
    }

    private void pass(long millis) {
        for (long i = 0; i < millis; i += 100) {
            steady += 100;
            clock.millis();
        }
    }

    @Example
    void jumpThatDoesNotLastIsNotFollowed() {
        jump = -3_000;
        shows(0);
        pass(SteadyClock.JUMP_CONFIRMATION_MILLIS - 1_000);
        shows(0);
        jump = 0;
        shows(0);
        pass(2_000);
        shows(0);
    }

    @Example
    void jumpThatLastsIsFollowed() {
        jump = 3_000;
        shows(0);
        pass(SteadyClock.JUMP_CONFIRMATION_MILLIS + 100);
        shows(3_000);
    }

    @Example
    void twoShortJumpsAreNotTakenForOneThatLasts() {
        jump = 3_000;
        pass(SteadyClock.JUMP_CONFIRMATION_MILLIS - 1_000);
        jump = 0;
        pass(200);
        jump = 3_000;
        pass(SteadyClock.JUMP_CONFIRMATION_MILLIS - 1_000);
        shows(0);
    }

    @Example
    void adjustmentsAreFollowedAtOnce() {
        jump = SteadyClock.MAX_ADJUSTMENT_MILLIS;
        shows(SteadyClock.MAX_ADJUSTMENT_MILLIS);
        jump = 0;
        shows(0);
    }
}
