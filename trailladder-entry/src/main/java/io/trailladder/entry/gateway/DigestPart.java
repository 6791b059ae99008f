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

import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** A part of the product that tells its like at the peers something with each digest. */
interface DigestPart {
    /** Returns the name of its sections, unlike that of all other parts. */
    String name();

    /** Returns the form of its sections; other forms are not given to it. */
    int version();

    /**
     * Writes what peers are told.
     *
     * @param scope {@code OWN}: this process's figures; else those with what some peers told last
     * @param peers the peers whose figures are added: a hub's leaves, or all but the receiver
     * @param nowMillis the time, in milliseconds
     * @return a section of this name and version; empty if there is nothing to tell
     */
    Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis);

    /**
     * Takes over what a peer tells in place of what it told before.
     *
     * @param peer the peer's name
     * @param section its section, bounded in bytes and age
     * @param nowMillis the time, in milliseconds
     * @throws IOException if the body cannot be read; nothing is taken over then
     */
    void received(String peer, DigestSection section, long nowMillis) throws IOException;

    /**
     * Tells that a peer has been linked, which may lack what was told before.
     *
     * @param peer the peer's name
     * @param nowMillis the time, in milliseconds
     */
    default void linked(String peer, long nowMillis) {}

    /**
     * Forgets what a peer told: it is silent, or its figures come another way now.
     *
     * @param peer the peer's name
     */
    void forget(String peer);
}
