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
 * The peers that are linked and responding, and the selection of those whose figures count at this
 * process: for a leaf its hub, for a hub its leaves, the other hubs of its region, and the
 * representatives of other regions.
 */
final class LinkedPeers {
    /**
     * Maximum age of figures for their processes to count as received, in milliseconds: three
     * digests.
     */
    private static final long FRESH_MAX_AGE_MILLIS = 600;

    /**
     * Number of leaves of each hub that store the usage of all, in addition to the hubs. Of 80
     * processes with 12 hubs, 36 store it; if only six processes survive, one of them stores it in
     * 98 of 100 cases.
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

    /** Sets the links that determine which process is a hub of which. */
    void setMesh(Mesh links) {
        mesh = links;
    }

    /** Adds a peer that has just been linked; what it sent before is discarded. */
    Peer linked(NodeHello hello) {
        Peer peer = new Peer(hello, nowMillis.getAsLong());
        peers.put(hello.name(), peer);
        return peer;
    }

    /**
     * Returns the peer that sent a message. A restarted peer may be linked again before its old
     * link is detected as dead.
     */
    Peer of(NodeHello hello) {
        long now = nowMillis.getAsLong();
        return peers.compute(hello.name(), (name, known) -> Peer.ofIncarnation(known, hello, now));
    }

    /** Removes the peers that have sent nothing for too long, and returns them. */
    List<Peer> removeUnresponsive() {
        long oldest = nowMillis.getAsLong() - PeerMesh.PEER_REACHABLE_MILLIS;
        List<Peer> unresponsive = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.digestMillis() < oldest) {
                unresponsive.add(peer);
            }
        }
        unresponsive.forEach(peer -> peers.remove(peer.name()));
        return unresponsive;
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

    /** Returns whether a peer of that name relies on this process as its hub. */
    boolean isLeaf(String name) {
        Peer peer = peers.get(name);
        return peer != null && peer.isLeaf();
    }

    /** Returns all peers whose figures count. */
    List<Peer> counted() {
        List<Peer> counted = countedHere();
        counted.addAll(regions.counted());
        return counted;
    }

    /** Returns the peers whose figures count, except the representatives of other regions. */
    List<Peer> countedHere() {
        List<Peer> counted = new ArrayList<>(peers.size());
        for (Peer peer : peers.values()) {
            if (counts(peer)) {
                counted.add(peer);
            }
        }
        return counted;
    }

    /**
     * Returns whether a peer's figures count. At a leaf these are its hub and peers that take it
     * for their hub.
     */
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

    /**
     * Returns the leaves that store the usage of all; the selection is stable while they are
     * linked.
     */
    List<Peer> usageReplicas() {
        return leaves().stream()
                .sorted(Comparator.comparing(Peer::name))
                .limit(USAGE_REPLICAS_PER_HUB)
                .toList();
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

    /**
     * Returns the number of processes that the recent digests of some peers cover, plus this one.
     */
    int totalProcesses(List<Peer> counted) {
        int total = 1;
        for (Peer peer : counted) {
            total += recentProcesses(peer);
        }
        return total;
    }

    /**
     * Returns the number of processes that a peer's last digest covers; 0 if the digest is too old.
     */
    int recentProcesses(Peer peer) {
        boolean fresh = peer.digestMillis() >= nowMillis.getAsLong() - FRESH_MAX_AGE_MILLIS;
        return fresh ? peer.processes() : 0;
    }
}
