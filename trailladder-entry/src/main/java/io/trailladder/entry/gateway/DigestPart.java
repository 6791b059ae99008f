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

/**
 * A component that exchanges a section of its own with the same component of the peers in each
 * digest.
 */
interface DigestPart {
    /** Returns the name of its sections, which differs from that of every other part. */
    String name();

    /** Returns the version of its sections; sections of other versions are not passed to it. */
    int version();

    /**
     * Writes the section for some peers.
     *
     * @param scope {@code OWN}: the figures of this process; otherwise also what {@code peers} sent
     *     last
     * @param peers the peers whose figures are included: the leaves of a hub, or all but the
     *     receiver
     * @param nowMillis the current time, in milliseconds
     * @return a section of this name and version; empty if there is nothing to send
     */
    Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis);

    /**
     * Replaces what a peer sent before by its new section.
     *
     * @param peer the peer's name
     * @param section the section; its size and age have been checked
     * @param nowMillis the current time, in milliseconds
     * @throws IOException if the body cannot be read; nothing is changed then
     */
    void received(String peer, DigestSection section, long nowMillis) throws IOException;

    /**
     * Notifies this part that a peer has been linked, which may lack what was sent before.
     *
     * @param peer the peer's name
     * @param nowMillis the current time, in milliseconds
     */
    default void linked(String peer, long nowMillis) {}

    /**
     * Notifies this part that a digest of a peer has arrived, before its section is received.
     *
     * @param peer the peer's name
     * @param nowMillis the current time, in milliseconds
     */
    default void heard(String peer, long nowMillis) {}

    /**
     * Notifies this part that a peer does not respond any more, though it has not announced that it
     * stops.
     *
     * @param peer the peer's name
     * @param sinceMillis when it last sent something, in milliseconds
     */
    default void silent(String peer, long sinceMillis) {}

    /**
     * Removes what a peer sent, because it does not respond or its figures now arrive on another
     * path.
     *
     * @param peer the peer's name
     */
    void forget(String peer);
}
