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
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Peers of a test, and the messages that are sent to them. */
final class ScriptedStreamPeers implements StreamPeers {
    final List<NodeMessage> sent = new ArrayList<>();
    List<String> asked = List.of();
    Collection<String> needed = List.of();
    List<String> passedOn = List.of();
    boolean hub = true;
    boolean fullMesh = true;

    @Override
    public List<String> asked() {
        return asked;
    }

    @Override
    public Collection<String> needed(String except) {
        return needed;
    }

    @Override
    public List<String> told() {
        return asked;
    }

    @Override
    public List<String> passedOnTo(String peer) {
        return passedOn;
    }

    @Override
    public boolean isAskedFor(String peer) {
        return !fullMesh;
    }

    @Override
    public boolean isHub() {
        return hub;
    }

    @Override
    public boolean isFullMesh() {
        return fullMesh;
    }

    @Override
    public Set<String> send(Collection<String> peers, NodeMessage message) {
        if (!peers.isEmpty()) {
            sent.add(message);
        }
        return new HashSet<>(peers);
    }
}
