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
package io.trailladder.entry.loop;

import io.trailladder.wire.PeerCodec;
import io.trailladder.wire.PeerMessage;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;

/**
 * Reads frames that {@link FrameWriter} has written.
 *
 * @since 0.7
 */
public final class FrameReader {
    private FrameReader() {}

    /**
     * Reads the next frame from a buffer, whose position is then after that frame.
     *
     * @param buffer the bytes received
     * @return the message; empty if the frame is not yet complete
     * @throws io.trailladder.wire.WireException if the bytes are no frame
     */
    public static Optional<PeerMessage> next(Buffer buffer) {
        if (buffer.remaining() < PeerCodec.LENGTH_BYTES) {
            return Optional.empty();
        }
        int length = buffer.getInt(buffer.position());
        PeerCodec.checkLength(length);
        if (buffer.remaining() < PeerCodec.LENGTH_BYTES + length) {
            return Optional.empty();
        }
        buffer.position(buffer.position() + PeerCodec.LENGTH_BYTES);
        byte[] frame = new byte[length];
        buffer.get(frame);
        return Optional.of(PeerCodec.decode(frame, 0, length));
    }
}
