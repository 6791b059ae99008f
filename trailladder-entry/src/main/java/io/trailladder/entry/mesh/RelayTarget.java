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
package io.trailladder.entry.mesh;

import org.glassfish.grizzly.Buffer;

/**
 * Receives the bytes of a connection that a peer has opened to have them relayed.
 *
 * @since 0.7
 */
public interface RelayTarget {
    /**
     * Called with bytes from the peer.
     *
     * @param bytes the bytes
     */
    void received(Buffer bytes);

    /** Called when the peer's connection has ended. */
    void closed();
}
