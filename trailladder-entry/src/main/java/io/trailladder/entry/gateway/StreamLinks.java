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

import io.trailladder.entry.mesh.Mesh;
import io.trailladder.wire.NodeMessage;
import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The links over which processes ask each other where streams began.
 *
 * @param view the peers
 * @param mesh the links to them
 * @param speakers the peers that can be asked
 */
record StreamLinks(ClusterView view, Mesh mesh, Predicate<String> speakers)
        implements StreamExchange.Links {
    @Override
    public Collection<String> asked() {
        return view.streamPeers();
    }

    @Override
    public boolean isSpeaker(String peer) {
        return speakers.test(peer);
    }

    @Override
    public boolean isLeaf(String peer) {
        return view.isLeaf(peer);
    }

    @Override
    public boolean isHub() {
        return mesh.isHub();
    }

    @Override
    public Set<String> send(Collection<String> peers, NodeMessage message) {
        return mesh.send(peers, message);
    }
}
