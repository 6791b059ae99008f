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
 * The value of the leader's key: the incarnation of the process that leads, and an exclusive lower
 * bound of its fencing token. The bound is needed because the revision at which the key was created
 * may be lower than tokens from a history that the store has lost. Older builds write the
 * incarnation alone, and do not read the bound.
 *
 * @param incarnation the name of the incarnation of the process
 * @param tokenLowerBound the leader's token is higher than this; 0 if only the revision counts
 */
record LeaderKey(String incarnation, long tokenLowerBound) {
    /** Highest valid token; revisions stay far below it. */
    private static final long MAX_TOKEN = 1L << 48;

    private static final char SEPARATOR = ' ';

    byte[] write() {
        String text =
                tokenLowerBound == 0 ? incarnation : incarnation + SEPARATOR + tokenLowerBound;
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a value; an invalid lower bound counts as 0. */
    static LeaderKey read(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        int end = text.indexOf(SEPARATOR);
        if (end < 0) {
            return new LeaderKey(text, 0);
        }
        return new LeaderKey(text.substring(0, end), parseToken(text.substring(end + 1)));
    }

    /** Returns the fencing token of the leader that wrote the key. */
    static long token(StoreItem item) {
        return Math.max(item.createdRevision(), read(item.value()).tokenLowerBound() + 1);
    }

    /** Returns the token if it is in the valid range, otherwise 0. */
    static long validOrZero(long token) {
        return token > MAX_TOKEN ? 0 : Math.max(0, token);
    }

    /** Parses a token; returns 0 if the text is not a valid token. */
    static long parseToken(String text) {
        try {
            return validOrZero(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
