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
package io.trailladder.core.claim;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Identifies a request that must run at most once, by a hash of its organisation and its key.
 *
 * @param high upper half of the hash
 * @param low lower half of the hash
 * @since 0.1
 */
public record ClaimKey(long high, long low) {
    /**
     * Hashes a caller's key. The organisation is part of the hash, so that equal keys of two
     * organisations differ.
     *
     * @param organisation the organisation's name
     * @param idempotencyKey the caller's {@code Idempotency-Key}
     * @return the hashed key
     */
    public static ClaimKey of(String organisation, String idempotencyKey) {
        HashValue128 hash =
                Hashing.murmur3_128().hashCharsTo128Bits(organisation + '\n' + idempotencyKey);
        return new ClaimKey(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /**
     * Returns the range that the key belongs to.
     *
     * @param ranges number of ranges
     * @return the range, from 0 to {@code ranges - 1}
     */
    public int range(int ranges) {
        return (int) Long.remainderUnsigned(low, ranges);
    }
}
