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
package io.trailladder.entry.log;

import java.time.Instant;

/**
 * Formats times as {@link Instant#toString} does, always with six fraction digits. Everything
 * except these digits is formatted once a second: the library's formatter runs about a hundred
 * methods, which are not yet compiled in a process that has just started.
 *
 * @since 0.5
 */
public final class LineTime {
    private static final int NANOS_PER_MICRO = 1_000;
    private static final int MICRO_DIGITS = 1_000_000;

    private static volatile Second last = new Second(0, start(0));

    private LineTime() {}

    /** A second and its text up to the decimal point. */
    private record Second(long number, String start) {}

    /**
     * Returns the text of a time.
     *
     * @param time the time
     * @return such as {@code 2026-03-01T12:00:00.000123Z}
     */
    public static String text(Instant time) {
        Second second = last;
        if (second.number() != time.getEpochSecond()) {
            second = new Second(time.getEpochSecond(), start(time.getEpochSecond()));
            last = second;
        }
        String digits = Integer.toString(MICRO_DIGITS + time.getNano() / NANOS_PER_MICRO);
        return second.start() + '.' + digits.substring(1) + 'Z';
    }

    private static String start(long second) {
        String text = Instant.ofEpochSecond(second).toString();
        return text.substring(0, text.length() - 1);
    }
}
