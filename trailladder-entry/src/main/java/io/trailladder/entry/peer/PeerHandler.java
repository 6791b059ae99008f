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

import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;

/**
 * Receives the events of peer links. Implementations must not block.
 *
 * @since 0.1
 */
public interface PeerHandler {
    /**
     * Called when the first link to a peer is up.
     *
     * @param peer the peer
     */
    void linked(EntryInfo peer);

    /**
     * Called when the last link to a peer is down.
     *
     * @param peer the peer
     */
    void unlinked(EntryInfo peer);

    /**
     * Called for each message from a peer.
     *
     * @param from the peer
     * @param message the message
     */
    void received(EntryInfo from, PeerMessage message);
}
