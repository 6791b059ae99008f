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
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The links of a process to its peers, as used by the code that sends and receives messages.
 *
 * @since 0.3
 */
public interface Mesh {
    /**
     * Returns the name of this process.
     *
     * @return the name, as in its hello message
     */
    String name();

    /**
     * Returns whether the first list of processes named this one, so that the others counted it
     * when it started.
     *
     * @return false also before the first list
     */
    boolean wasListedAtStart();

    /**
     * Closes the link to a peer that does not respond, and links to another one at once where this
     * process relies on it.
     *
     * @param peer the peer
     */
    void avoid(NodeHello peer);

    /**
     * Returns how many processes are known, this one included.
     *
     * @return a count of at least 1
     */
    int size();

    /**
     * Returns whether this process acts as a hub. All processes do where there are few, and while
     * the processes are not known.
     *
     * @return false for a leaf
     */
    boolean isHub();

    /**
     * Returns whether the processes are known.
     *
     * @return false until the store has listed them once
     */
    boolean isPlanned();

    /**
     * Returns whether this process relies on a peer to forward its messages.
     *
     * @param peer the peer
     * @return true for the hub of a leaf
     */
    boolean isOwnHub(NodeHello peer);

    /**
     * Returns the location of peers if there are several regions.
     *
     * @return the regions; empty if there is only one
     */
    default Optional<RegionView> regions() {
        return Optional.empty();
    }

    /**
     * Returns whether a process is one of the hubs that follow the store for the other hubs.
     *
     * @param name the process's name
     * @return false where each process follows for itself
     */
    default boolean isStoreFollower(String name) {
        return false;
    }

    /**
     * Returns whether this process is one of the hubs that follow the store for the other hubs.
     *
     * @return false where each process follows for itself
     */
    default boolean followsStoreForHubs() {
        return false;
    }

    /**
     * Returns whether a peer forwards to this process what it receives about policy and upstreams.
     *
     * @param peer the peer
     * @return true for the hub of a leaf, and for the store's followers to another hub
     */
    default boolean receivesUpdatesFrom(NodeHello peer) {
        return isOwnHub(peer);
    }

    /**
     * Returns whether this process keeps a link to a peer. Other links are closed once the
     * processes are known.
     *
     * @param peer the peer
     * @return false if a link that was lost may have been closed because it is not needed
     */
    default boolean keepsLinkTo(NodeHello peer) {
        return true;
    }

    /**
     * Sends a message to one peer.
     *
     * @param peer the peer's name
     * @param message the message
     * @return false if there is no link to it
     */
    default boolean send(String peer, NodeMessage message) {
        return !send(List.of(peer), message).isEmpty();
    }

    /**
     * Sends one message to several peers.
     *
     * @param peers the peers' names
     * @param message the message
     * @return the names of the peers that have a link
     */
    Set<String> send(Collection<String> peers, NodeMessage message);
}
