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
package io.trailladder.entry.serve;

import com.dynatrace.hash4j.hashing.Hashing;
import io.trailladder.core.claim.ClaimKey;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Makes the names of requests.
 *
 * @since 0.1
 */
final class RequestIds {
    /** Begins the names of requests that may run any number of times. */
    static final String REPEATABLE_PREFIX = "r";

    /** Begins the names of requests that run at most once and have no key. */
    static final String AT_MOST_ONCE_PREFIX = "o";

    /** Begins the names of requests that run at most once by their keys. */
    static final String CLAIMED_PREFIX = "c";

    private static final String KEYED_PREFIX = "k";

    private RequestIds() {}

    /** Tells whether a request of this name may run again where another entry began it. */
    static boolean isRepeatable(String requestId) {
        return !requestId.startsWith(AT_MOST_ONCE_PREFIX) && !requestId.startsWith(CLAIMED_PREFIX);
    }

    /** Makes a name that was never used before. */
    static String random(String prefix) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return prefix + hex(random.nextLong()) + hex(random.nextLong());
    }

    /** Makes the name of a request from its caller's key, the same at every entry. */
    static String fromKey(String organisation, String key) {
        ClaimKey hash = ClaimKey.of(organisation, key);
        return KEYED_PREFIX + hex(hash.high()) + hex(hash.low());
    }

    /** Tells whether a name was made from its caller's key. */
    static boolean isFromKey(String requestId) {
        return requestId.startsWith(KEYED_PREFIX);
    }

    /** Hashes what a request asks for, to tell a key that is used for something else. */
    static long fingerprint(IncomingRequest request) {
        String head = request.method() + ' ' + request.path();
        return Hashing.xxh3_64()
                .hashLongLongToLong(
                        Hashing.xxh3_64().hashCharsToLong(head),
                        Hashing.xxh3_64().hashBytesToLong(request.body()));
    }

    private static String hex(long value) {
        return HexFormat.of().toHexDigits(value);
    }
}
