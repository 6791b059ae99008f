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
package io.trailladder.entry.peer;

import io.trailladder.core.TrailladderException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual authentication of peers: each proves that it has the shared key without sending it.
 *
 * @since 0.1
 */
final class PeerAuth {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    PeerAuth(byte[] sharedKey) {
        key = new SecretKeySpec(sharedKey, ALGORITHM);
    }

    static byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** Returns the MAC of the checker's nonce, the prover's nonce and the prover's name. */
    byte[] proof(byte[] checkerNonce, byte[] proverNonce, String prover) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(checkerNonce);
            mac.update(proverNonce);
            return mac.doFinal(prover.getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new TrailladderException("the JDK has no " + ALGORITHM, e);
        }
    }

    boolean accepts(byte[] proof, byte[] checkerNonce, byte[] proverNonce, String prover) {
        return MessageDigest.isEqual(proof, proof(checkerNonce, proverNonce, prover));
    }
}
