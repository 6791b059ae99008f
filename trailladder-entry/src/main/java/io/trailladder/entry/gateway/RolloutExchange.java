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

import io.trailladder.core.rollout.Rollout;
import io.trailladder.core.rollout.RolloutUpdate;
import io.trailladder.core.rollout.RouteEvidence;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.mesh.Mesh;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.RolloutReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * What processes tell each other of roll-outs: a leaf tells its hub what it has seen, a hub tells
 * other hubs the sum of its own and its leaves', and everybody is told the phase. A peer's evidence
 * replaces what it told before, so nothing is counted twice.
 */
final class RolloutExchange {
    private final RolloutManager manager;
    private final LongSupplier nowMillis;
    private final Map<String, Map<Long, List<RouteEvidence>>> evidenceByPeer = new HashMap<>();

    RolloutExchange(RolloutManager keeper, LongSupplier nowMillis) {
        this.manager = keeper;
        this.nowMillis = nowMillis;
    }

    /** Tells the peers, if there is a roll-out to tell of. */
    void send(Mesh mesh, Collection<Peer> peers) {
        // an order that was not found in the store's new history has a revision of the lost one
        if (manager.rollouts().isEmpty() || manager.awaitsOrders()) {
            return;
        }
        List<String> leaves = new ArrayList<>();
        List<String> others = new ArrayList<>();
        for (Peer peer : peers) {
            if (mesh.isHub() && peer.isLeaf()) {
                leaves.add(peer.name());
            } else if (mesh.isHub() || mesh.isOwnHub(peer.hello())) {
                others.add(peer.name());
            }
        }
        if (!leaves.isEmpty()) {
            mesh.send(leaves, report(List.of(), false));
        }
        if (!others.isEmpty()) {
            mesh.send(others, report(leaves, true));
        }
    }

    /**
     * Takes over what a peer tells; figures that cannot be true are left out.
     *
     * @param sameHistory false if the peer may be on another history of the store
     */
    void receive(NodeHello peer, RolloutReport report, boolean sameHistory) {
        Map<Long, List<RouteEvidence>> told = new HashMap<>();
        for (RolloutUpdate news : report.rollouts()) {
            List<RouteEvidence> sound =
                    news.evidence().stream().filter(RouteEvidence::isValid).toList();
            if (sound.size() < news.evidence().size()) {
                DecisionLog.write(
                        new Lifecycle("peer " + peer.name(), "figures refused", news.toString()));
            }
            told.put(news.order().revision(), sound);
            manager.receive(news, sameHistory);
        }
        evidenceByPeer.put(peer.name(), told);
    }

    /** Forgets what a peer told that is silent. */
    void forget(String peer) {
        evidenceByPeer.remove(peer);
    }

    /** Returns what this process and some peers have seen. */
    List<RouteEvidence> evidence(Rollout rollout, Collection<String> peers) {
        Stream<RouteEvidence> told =
                peers.stream()
                        .map(peer -> evidenceByPeer.getOrDefault(peer, Map.of()))
                        .flatMap(
                                byOrder ->
                                        byOrder
                                                .getOrDefault(rollout.order().revision(), List.of())
                                                .stream());
        return RouteEvidence.sum(Stream.concat(rollout.evidence().stream(), told));
    }

    private RolloutReport report(List<String> leaves, boolean withEvidence) {
        long now = nowMillis.getAsLong();
        List<RolloutUpdate> news = new ArrayList<>();
        for (Rollout rollout : manager.rollouts()) {
            List<RouteEvidence> evidence =
                    withEvidence ? evidence(rollout, leaves) : List.<RouteEvidence>of();
            news.add(rollout.update(evidence, now));
        }
        return new RolloutReport(news);
    }
}
