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

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.membership.HubTopology;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.wire.NodeMessage;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The linked peers that take part in the exchange of where streams began.
 *
 * @param view the peers
 * @param mesh the links to them
 * @param plans whether a peer assigns streams by plans, as builds before do not
 */
record LinkedStreamPeers(ClusterView view, PeerMesh mesh, Predicate<String> plans)
        implements StreamPeers {
    /** The name of a process that is needed, but not known. */
    private static final String UNKNOWN = "";

    @Override
    public List<String> asked() {
        return view.peersToAsk().stream().filter(plans).toList();
    }

    @Override
    public Collection<String> needed(String except) {
        if (!mesh.isPlanned()) {
            return List.of(UNKNOWN);
        }
        if (!mesh.isHub()) {
            List<String> hubs = view.peersToAsk();
            return hubs.isEmpty() ? List.of(UNKNOWN) : hubs;
        }
        Collection<GatewayMember> hubs =
                isFullMesh() ? mesh.members() : HubTopology.hubs(mesh.membersOfRegion());
        return hubs.stream()
                .map(GatewayMember::name)
                .filter(name -> !name.equals(mesh.name()) && !name.equals(except))
                .toList();
    }

    @Override
    public List<String> told() {
        return view.linkedPeers().stream().filter(plans).filter(this::isToldByThis).toList();
    }

    /** Leaves are not told: they ask their hub. */
    private boolean isToldByThis(String peer) {
        return !view.isLeaf(peer);
    }

    @Override
    public List<String> passedOnTo(String peer) {
        if (isFullMesh() || !mesh.isHub()) {
            return List.of();
        }
        boolean ownHub = !view.isLeaf(peer) && !view.isElsewhere(peer);
        return told().stream()
                .filter(other -> !other.equals(peer))
                .filter(other -> !ownHub || view.isElsewhere(other))
                .toList();
    }

    @Override
    public boolean isAskedFor(String peer) {
        return mesh.isHub() && (view.isLeaf(peer) || view.isElsewhere(peer));
    }

    @Override
    public boolean isHub() {
        return mesh.isHub();
    }

    @Override
    public boolean isFullMesh() {
        return mesh.regions().isEmpty() && HubTopology.isFullMesh(mesh.members());
    }

    @Override
    public Set<String> send(Collection<String> peers, NodeMessage message) {
        return mesh.send(peers, message);
    }
}
