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
import java.util.List;

/**
 * Sends messages to the other entries.
 *
 * <pre>{@code
 * for (EntryInfo peer : peers.live()) {
 *     peers.send(peer.id(), message);
 * }
 * }</pre>
 *
 * @since 0.6
 */
public interface Peers {
    /**
     * Sends a message without confirmation that it arrives.
     *
     * @param peer the name of the peer
     * @param message the message
     * @return false if no link to the peer is up
     */
    boolean send(String peer, PeerMessage message);

    /**
     * Returns the peers from which a message was received recently.
     *
     * @return their descriptions
     */
    List<EntryInfo> live();
}
