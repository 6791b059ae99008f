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
package io.trailladder.wire;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes and decodes frames. A frame has four bytes of length, one byte of version, one byte of
 * message type, then the message as a MessagePack array.
 *
 * <pre>{@code
 * byte[] frame = PeerCodec.encode(new PeerMessage.RecordDrop("r1"));
 * PeerMessage message = PeerCodec.decode(frame, PeerCodec.LENGTH_BYTES, frame.length);
 * }</pre>
 *
 * @since 0.1
 */
public final class PeerCodec {
    /** Version of frames and messages; both sides of a link must use the same one. */
    public static final int VERSION = 1;

    /** Size of the length field, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Maximum size of a frame without its length field, in bytes. */
    public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    private static final int HEADER_BYTES = 2;
    private static final int MAX_DEPTH = 16;

    private PeerCodec() {}

    /**
     * Holds the mapper for messages other than {@link NodeMessage}; it is created at the first use
     * because a gateway process never needs it.
     */
    private static final class General {
        private static final ObjectMapper MAPPER = mapper();
    }

    /**
     * Encodes a message as a frame.
     *
     * @param message the message
     * @return the frame, with its length field
     * @throws WireException if the message is too large or cannot be encoded
     */
    public static byte[] encode(PeerMessage message) {
        MessageType type = MessageType.of(message);
        byte[] payload = payload(type, message);
        int length = payload.length + HEADER_BYTES;
        if (length > MAX_FRAME_BYTES) {
            throw new WireException(
                    type + " frame of " + length + " bytes, expected at most " + MAX_FRAME_BYTES);
        }
        ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + length);
        frame.putInt(length).put((byte) VERSION).put((byte) type.number()).put(payload);
        return frame.array();
    }

    /**
     * Checks the value of a length field.
     *
     * @param length the length, in bytes
     * @throws WireException if it is below 2 or above {@link #MAX_FRAME_BYTES}
     */
    public static void checkLength(int length) {
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new WireException(
                    "frame of "
                            + length
                            + " bytes, expected "
                            + HEADER_BYTES
                            + " to "
                            + MAX_FRAME_BYTES);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes an array that contains a frame
     * @param from index of the version byte
     * @param to index after the last byte of the frame
     * @return the message
     * @throws WireException if the bytes are not a message of {@link #VERSION}
     */
    public static PeerMessage decode(byte[] bytes, int from, int to) {
        checkLength(to - from);
        if (bytes[from] != VERSION) {
            throw new WireException("frame version " + bytes[from] + ", expected " + VERSION);
        }
        MessageType type = MessageType.of(Byte.toUnsignedInt(bytes[from + 1]));
        int start = from + HEADER_BYTES;
        try {
            if (NodeUnpacker.canRead(type)) {
                return NodeUnpacker.unpack(type, bytes, start, to - start);
            }
            PeerMessage message =
                    General.MAPPER.readValue(bytes, start, to - start, type.messageClass());
            if (message == null) {
                throw new WireException(type + " message is nil, expected an array");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new WireException(type, e);
        }
    }

    private static byte[] payload(MessageType type, PeerMessage message) {
        try {
            if (message instanceof NodeMessage node) {
                return NodePacker.pack(node);
            }
            return General.MAPPER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new WireException(type, e);
        }
    }

    private static ObjectMapper mapper() {
        MessagePackFactory factory = new MessagePackFactory();
        factory.setStreamReadConstraints(
                StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
        MessagePackMapper mapper = new MessagePackMapper(factory);
        mapper.setAnnotationIntrospector(new JsonArrayFormat());
        return mapper;
    }
}
