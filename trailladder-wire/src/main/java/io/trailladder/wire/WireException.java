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

import io.trailladder.core.TrailladderException;

/**
 * Thrown when bytes from a peer are not a valid frame, or when a message cannot be encoded as one.
 *
 * @since 0.1
 */
public class WireException extends TrailladderException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception for a malformed frame.
     *
     * @param message what was found and what was expected
     */
    public WireException(String message) {
        super(message);
    }

    /**
     * Creates the exception for a payload that cannot be encoded or decoded.
     *
     * @param type the message type
     * @param cause the codec's exception
     */
    public WireException(MessageType type, Exception cause) {
        super("payload of " + type + " message is not valid MessagePack of that type", cause);
    }
}
