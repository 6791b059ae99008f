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
package io.trailladder.core.crash;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;

/**
 * Something by which requests are recognised at all processes: a whole request, which is equal to
 * others with the same caller, method, target and body, or a part of its prompt.
 *
 * <p>The hash of a whole request is keyed by the caller's own key, so that a reader of logs or
 * messages who does not have the key cannot find out a body by trying candidates.
 *
 * <pre>{@code
 * RequestTrait.whole("key", "POST", "/chat", body).toString() // "9c41d07be2a35f68"
 * RequestTrait.part(2, "5c1e07a2").toString() // "0b7e5f21c3d8a940-2"
 * }</pre>
 *
 * @param value the 64-bit hash; the probability that two of a million collide is one in 37 million
 * @param position the position of the part in the prompt, from 1; 0 for a whole request
 * @since 0.6
 */
public record RequestTrait(long value, int position) {
    /** Highest position; parts behind it count as if they stood there. */
    public static final int MAX_POSITION = 127;

    private static final int HEX_DIGITS = 16;
    private static final int HEX_RADIX = 16;
    private static final char SEPARATOR = '-';

    /** Checks the position. */
    public RequestTrait {
        if (position < 0 || position > MAX_POSITION) {
            throw new IllegalArgumentException(
                    "position " + position + ", expected 0 to " + MAX_POSITION);
        }
    }

    /**
     * Creates the trait of a whole request.
     *
     * @param value the hash
     */
    public RequestTrait(long value) {
        this(value, 0);
    }

    /**
     * Returns the trait of a whole request.
     *
     * @param callerKey the caller's key; empty if it has none
     * @param method the method
     * @param target the requested host, path and query
     * @param body the body
     * @return the trait
     */
    public static RequestTrait whole(String callerKey, String method, String target, byte[] body) {
        Hasher64 keyed = Hashing.xxh3_64(Hashing.xxh3_64().hashCharsToLong(callerKey));
        return new RequestTrait(
                keyed.hashStream()
                        .putString(callerKey)
                        .putString(method)
                        .putString(target)
                        .putByteArray(body)
                        .getAsLong());
    }

    /**
     * Returns the trait of a part of a prompt.
     *
     * @param position its position in the prompt, from 1
     * @param id identifies its content
     * @return the trait
     */
    public static RequestTrait part(int position, String id) {
        return new RequestTrait(
                Hashing.xxh3_64().hashCharsToLong(id), Math.min(position, MAX_POSITION));
    }

    /**
     * Reads a trait from its text.
     *
     * @param text the text, as {@link #toString} writes it
     * @return the trait
     * @throws NumberFormatException if it is not 16 hex digits, perhaps with a position
     */
    public static RequestTrait parse(String text) {
        int end = text.indexOf(SEPARATOR);
        String hash = end < 0 ? text : text.substring(0, end);
        if (hash.length() != HEX_DIGITS) {
            throw new NumberFormatException("'" + text + "', expected 16 hex digits");
        }
        int position = end < 0 ? 0 : Integer.parseInt(text.substring(end + 1));
        if (position < 0 || position > MAX_POSITION) {
            throw new NumberFormatException("'" + text + "', expected a position of 1 to 127");
        }
        return new RequestTrait(Long.parseUnsignedLong(hash, HEX_RADIX), position);
    }

    /**
     * Returns whether this is a part of a prompt.
     *
     * @return false for a whole request
     */
    public boolean isPart() {
        return position > 0;
    }

    @Override
    public String toString() {
        String hash = HexFormat.of().toHexDigits(value);
        return isPart() ? hash + SEPARATOR + position : hash;
    }
}
