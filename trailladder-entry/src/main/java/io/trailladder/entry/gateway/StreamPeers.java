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

import io.trailladder.wire.NodeMessage;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/** The peers with which a process exchanges where streams began. */
interface StreamPeers {
    /** Returns the peers that are asked: for a leaf its hub, for a hub all other hubs. */
    List<String> asked();

    /**
     * Returns the peers without whose answers it is not known that no process knows a stream.
     *
     * @param except a peer for which this process asks; empty for itself
     */
    Collection<String> needed(String except);

    /** Returns the peers that are told what all must know. */
    List<String> told();

    /** Returns the peers to which a process passes on what a peer told it. */
    List<String> passedOnTo(String peer);

    /** Returns whether this process asks others for a peer. */
    boolean isAskedFor(String peer);

    /** Returns whether this process is a hub. */
    boolean isHub();

    /** Returns whether all processes are linked to each other. */
    boolean isFullMesh();

    /** Sends a message; returns the peers that have a link. */
    Set<String> send(Collection<String> peers, NodeMessage message);
}
