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

/** Reads how long a server keeps a connection that rests, from the head of its answer. */
final class KeepAlive {
    /** Told where an answer says nothing, in milliseconds. */
    static final long NOT_SPECIFIED = Long.MAX_VALUE;

    /**
     * Part of the time told in which a connection is used again. The server counts from when its
     * answer left, in whole seconds, and a request that meets its close may or may not have run.
     */
    private static final int SAFETY_DIVISOR = 2;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Nine digits are 30 years, and fit. */
    private static final Pattern SECONDS =
            Pattern.compile("(?:^|.*[,;\\s])(?:timeout\\s*=\\s*)?\"?(\\d{1,9})\"?\\s*(?:[,;].*)?");

    private KeepAlive() {}

    /**
     * Returns how long a connection may rest and be used again, in milliseconds: {@link #NOT_SPECIFIED}
     * if the answer does not say so, or says it in no known form.
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
