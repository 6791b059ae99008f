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
 * Identifies equal requests at all processes: those with the same caller, method, target and body.
 *
 * <p>The hash is keyed by the caller's own key, so that a reader of logs or messages who does not
 * have the key cannot find out a body by trying candidates.
 *
 * <pre>{@code
 * RequestFingerprint.of("key", "POST", "/chat", body).toString() // "9c41d07be2a35f68"
 * }</pre>
 *
 * @param value the 64-bit hash; the probability that two of a million requests collide is one in 37
 *     million
 * @since 0.6
 */
public record RequestFingerprint(long value) {
    /**
     * Returns the fingerprint of a request.
     *
     * @param callerKey the caller's key; empty if it has none
     * @param method the method
     * @param target the requested host, path and query
     * @param body the body
     * @return the fingerprint
     */
    public static RequestFingerprint of(
            String callerKey, String method, String target, byte[] body) {
        Hasher64 keyed = Hashing.xxh3_64(Hashing.xxh3_64().hashCharsToLong(callerKey));
        return new RequestFingerprint(
                keyed.hashStream()
                        .putString(callerKey)
                        .putString(method)
                        .putString(target)
                        .putByteArray(body)
                        .getAsLong());
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(value);
    }
}
