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
package io.trailladder.entry.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads from the head of an answer how long the server keeps an idle connection. */
final class KeepAlive {
    /** The value for an answer that does not specify a time, in milliseconds. */
    static final long NOT_SPECIFIED = Long.MAX_VALUE;

    /**
     * Divisor of the server's time for the time in which a connection is reused. The server counts
     * from when it sent its answer, in whole seconds, and a request sent while the server closes
     * the connection may or may not have run.
     */
    private static final int SAFETY_DIVISOR = 2;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Up to nine digits (about 30 years), so that the milliseconds do not overflow. */
    private static final Pattern SECONDS =
            Pattern.compile("(?:^|.*[,;\\s])(?:timeout\\s*=\\s*)?\"?(\\d{1,9})\"?\\s*(?:[,;].*)?");

    private KeepAlive() {}

    /**
     * Returns how long a connection may be idle and still be reused, in milliseconds, or {@link
     * #NOT_SPECIFIED} if the answer gives no time in a known form.
     */
    static long reuseMillis(HeaderList headers) {
        String value = headers.first("Keep-Alive").orElse("").trim();
        Matcher seconds = SECONDS.matcher(value);
        if (value.isEmpty() || !seconds.matches()) {
            return NOT_SPECIFIED;
        }
        return Long.parseLong(seconds.group(1)) * MILLIS_PER_SECOND / SAFETY_DIVISOR;
    }
}
