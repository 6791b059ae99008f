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

import io.trailladder.wire.NodeMessage.DigestSection;
import io.trailladder.wire.NodeMessage.NodeDigest;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The digest section that contains the store epoch of the sender's revisions and the highest
 * fencing token that it knows. Older builds ignore it and send none.
 *
 * @param epoch the epoch; 0 if none is known
 * @param token the highest token of a leader; 0 if none is known
 */
record StoreEpochSection(long epoch, long token) {
    private static final String NAME = "store-epoch";
    private static final int VERSION = 1;
    private static final int BYTES = 2 * Long.BYTES;

    /** A section without epoch and token, which is not written. */
    static final StoreEpochSection NONE = new StoreEpochSection(0, 0);

    /** Returns the section; empty for a store that names no epochs. */
    Optional<DigestSection> write() {
        if (epoch == 0) {
            return Optional.empty();
        }
        byte[] body = ByteBuffer.allocate(BYTES).putLong(epoch).putLong(token).array();
        return Optional.of(new DigestSection(NAME, VERSION, 0, body));
    }

    /** Reads the section of a digest; a section of another version or length is ignored. */
    static StoreEpochSection of(NodeDigest digest) {
        for (DigestSection section : digest.sections()) {
            boolean matches = section.name().equals(NAME) && section.version() == VERSION;
            if (matches && section.body().length == BYTES) {
                ByteBuffer body = ByteBuffer.wrap(section.body());
                long epoch = body.getLong();
                return new StoreEpochSection(epoch, LeaderKey.validOrZero(body.getLong()));
            }
        }
        return NONE;
    }
}
