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
package io.trailladder.entry.gateway;

import io.trailladder.entry.port.StoreItem;
import java.nio.charset.StandardCharsets;

/**
 * What stands under the leader's key: the life of the process that leads, and a token that is below
 * its own by one at least, for the revision at which the key was made may be lower than tokens of a
 * history of the store that was lost. Older builds write the life alone, and do not read it.
 *
 * @param incarnation names the life of the process
 * @param tokenLowerBound its token is higher than this; 0 if only the revision counts
 */
record LeaderKey(String incarnation, long tokenLowerBound) {
    /** Highest token that is taken for one: revisions do not come near it. */
    private static final long MAX_TOKEN = 1L << 48;

    private static final char SEPARATOR = ' ';

    byte[] write() {
        String text = tokenLowerBound == 0 ? incarnation : incarnation + SEPARATOR + tokenLowerBound;
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Reads a value; a number that is none counts as not written. */
    static LeaderKey read(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        int end = text.indexOf(SEPARATOR);
        if (end < 0) {
            return new LeaderKey(text, 0);
        }
        return new LeaderKey(text.substring(0, end), parseToken(text.substring(end + 1)));
    }

    /** Returns the token of the leader whose key it is. */
    static long token(StoreItem item) {
        return Math.max(item.createdRevision(), read(item.value()).tokenLowerBound() + 1);
    }

    /** Returns a token, or 0 for a number that cannot be one. */
    static long validOrZero(long token) {
        return token > MAX_TOKEN ? 0 : Math.max(0, token);
    }

    /** Reads a token; what is none counts as 0. */
    static long parseToken(String text) {
        try {
            return validOrZero(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
