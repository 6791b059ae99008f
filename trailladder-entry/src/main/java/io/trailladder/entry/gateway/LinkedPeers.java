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
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.wire.NodeMessage.NodeHello;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The peers that are linked and not silent, and whose figures count here: to a leaf those of its
 * hub, to a hub those of its leaves, of the other hubs of its region, and of whoever tells for
 * another region.
 */
final class LinkedPeers {
    /**
     * How old figures may be for their processes to share limits with this one, in milliseconds:
     * three digests. Until then both sides of a cut use whole limits.
     */
    private static final long FRESH_MAX_AGE_MILLIS = 600;

    /**
     * Leaves of each hub that keep the usage of all, beside the hubs: with 12 hubs of 80 processes,
     * 36 keep it, and six that outlive all others hold it in 98 of 100 cases (counted out).
     */
    private static final int USAGE_REPLICAS_PER_HUB = 2;

    private final LongSupplier nowMillis;
    private final RegionExchange regions;
    private final Map<String, Peer> peers = new HashMap<>();
    private Mesh mesh;

    LinkedPeers(LongSupplier nowMillis, RegionExchange regions) {
        this.nowMillis = nowMillis;
        this.regions = regions;
    }

    /** Sets the links that tell who is a hub of whom. */
    void setMesh(Mesh links) {
        mesh = links;
    }

    /** Takes in a peer that has just been linked; what it told before is forgotten. */
    Peer linked(NodeHello hello) {
        Peer peer = new Peer(hello, nowMillis.getAsLong());
        peers.put(hello.name(), peer);
        return peer;
    }

    /**
     * Returns the peer of a message. One that has started again may be linked anew before its old
     * link is found dead.
     */
    Peer of(NodeHello hello) {
        long now = nowMillis.getAsLong();
        return peers.compute(hello.name(), (name, known) -> Peer.ofIncarnation(known, hello, now));
    }

    /** Forgets the peers that have told nothing for too long, and returns them. */
    List<Peer> removeUnresponsive() {
        long oldest = nowMillis.getAsLong() - PeerMesh.HEARD_MILLIS;
        List<Peer> silent = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.digestMillis() < oldest) {
                silent.add(peer);
            }
        }
        silent.forEach(peer -> peers.remove(peer.name()));
        return silent;
    }

    Collection<Peer> all() {
        return peers.values();
    }

    boolean isEmpty() {
        return peers.isEmpty();
    }

    int size() {
        return peers.size();
    }

    /** Tells whether a peer of that name relies on this process as its hub. */
    boolean isLeaf(String name) {
        Peer peer = peers.get(name);
        return peer != null && peer.isLeaf();
    }

    /** Returns all whose figures count. */
    List<Peer> counted() {
        List<Peer> counted = countedHere();
        counted.addAll(regions.counted());
        return counted;
    }

    /** Returns those that count, but for those that tell for other regions. */
    List<Peer> countedHere() {
        List<Peer> counted = new ArrayList<>(peers.size());
        for (Peer peer : peers.values()) {
            if (counts(peer)) {
                counted.add(peer);
            }
        }
        return counted;
    }

    /** To a leaf only its hub's figures count, and those of peers that take it for a hub. */
    boolean counts(Peer peer) {
        return peer.hasReported()
                && !isElsewhere(peer)
                && (peer.isLeaf() || mesh.isHub() || mesh.isOwnHub(peer.hello()));
    }

    List<Peer> leaves() {
        List<Peer> leaves = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.isLeaf()) {
                leaves.add(peer);
            }
        }
        return leaves;
    }

    /** Returns the leaves that keep the usage of all: the same ones as long as they are linked. */
    List<Peer> usageReplicas() {
        return leaves().stream().sorted(Comparator.comparing(Peer::name)).limit(USAGE_REPLICAS_PER_HUB).toList();
    }

    /** Returns the other hubs of the own region. */
    List<Peer> ownHubs() {
        return peers.values().stream()
                .filter(peer -> !peer.isLeaf() && !isElsewhere(peer))
                .toList();
    }

    boolean isElsewhere(Peer peer) {
        return mesh.regions()
                .filter(view -> RegionExchange.isElsewhere(mesh, view, peer))
                .isPresent();
    }

    /** Returns how many processes some peers spoke for just now, this one included. */
    int totalProcesses(List<Peer> counted) {
        int heard = 1;
        for (Peer peer : counted) {
            heard += recentProcesses(peer);
        }
        return heard;
    }

    /** Returns how many processes a peer spoke for just now. */
    int recentProcesses(Peer peer) {
        boolean fresh = peer.digestMillis() >= nowMillis.getAsLong() - FRESH_MAX_AGE_MILLIS;
        return fresh ? peer.processes() : 0;
    }
}
