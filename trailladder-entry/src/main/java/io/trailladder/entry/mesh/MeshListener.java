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

import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;

/**
 * Receives links and messages of peers, on the event loop's thread.
 *
 * @since 0.2
 */
public interface MeshListener {
    /**
     * Called when a link to a peer is up.
     *
     * @param peer the peer
     */
    void linked(NodeHello peer);

    /**
     * Called for every message.
     *
     * @param peer the sender
     * @param message the message
     */
    void received(NodeHello peer, NodeMessage message);

    /**
     * Returns whether this process must act as a hub.
     *
     * @return true if others rely on it, or it is the leader
     */
    boolean isNeeded();
}
