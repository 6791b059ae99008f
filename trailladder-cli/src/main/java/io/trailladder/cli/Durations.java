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
package io.trailladder.cli;

import io.trailladder.core.TrailladderException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses durations such as {@code 250ms}, {@code 14s}, {@code 10m}, {@code 24h}.
 *
 * @since 0.1
 */
final class Durations {
    /** The expected form of a duration, for error messages. */
    static final String EXPECTED_FORM = "a duration such as 250ms, 14s, 10m or 24h";

    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

    private Durations() {}

    /**
     * Parses a duration.
     *
     * @param text the text; {@code null} is treated as empty
     * @return the duration in milliseconds
     * @throws BadDurationException if the text is not a duration
     */
    static long parseMillis(String text) {
        Matcher matcher = DURATION.matcher(text == null ? "" : text);
        if (!matcher.matches()) {
            throw new BadDurationException(text);
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> number;
            case "s" -> number * 1_000;
            case "m" -> number * 60_000;
            default -> number * 3_600_000;
        };
    }

    /** Thrown for text that is not a duration. */
    static final class BadDurationException extends TrailladderException {
        private static final long serialVersionUID = 1L;

        BadDurationException(String text) {
            super("duration '" + text + "', expected " + EXPECTED_FORM);
        }
    }
}
