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

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * A clock that does not follow a jump of the system clock at once.
 *
 * <p>It advances with a monotonic clock, and follows the system clock while both agree. A jump is
 * accepted only after it has lasted for {@link #JUMP_CONFIRMATION_MILLIS}: a wrongly set clock is
 * usually corrected soon, and until then counts by time of day would go to the wrong window.
 *
 * <pre>{@code
 * Clock clock = new SteadyClock(Clock.systemUTC(), loop::nowMillis);
 * }</pre>
 *
 * @since 0.3
 */
public final class SteadyClock extends Clock {
    /** How long a jump must last to be accepted, in milliseconds: several usage windows. */
    public static final long JUMP_CONFIRMATION_MILLIS = 15_000;

    /** Maximum difference that counts as an adjustment and is followed at once, in milliseconds. */
    public static final long MAX_ADJUSTMENT_MILLIS = 200;

    private final Clock systemClock;
    private final LongSupplier steadyMillis;
    private long offsetMillis;
    private long jumpSinceMillis = -1;

    /**
     * Creates a clock that starts with the system time.
     *
     * @param machine the system clock
     * @param steadyMillis a monotonic clock, in milliseconds
     */
    public SteadyClock(Clock machine, LongSupplier steadyMillis) {
        this.systemClock = machine;
        this.steadyMillis = steadyMillis;
        this.offsetMillis = machine.millis() - steadyMillis.getAsLong();
    }

    @Override
    public long millis() {
        long now = steadyMillis.getAsLong();
        long offset = systemClock.millis() - now;
        if (Math.abs(offset - offsetMillis) <= MAX_ADJUSTMENT_MILLIS) {
            offsetMillis = offset;
            jumpSinceMillis = -1;
        } else if (jumpSinceMillis < 0) {
            jumpSinceMillis = now;
            Logger.warn("the time of day jumped by {} ms", offset - offsetMillis);
        } else if (now - jumpSinceMillis >= JUMP_CONFIRMATION_MILLIS) {
            Logger.warn("a jump of the time of day by {} ms lasts", offset - offsetMillis);
            offsetMillis = offset;
            jumpSinceMillis = -1;
        }
        return now + offsetMillis;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return systemClock.getZone();
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return new SteadyClock(systemClock.withZone(zone), steadyMillis);
    }
}
