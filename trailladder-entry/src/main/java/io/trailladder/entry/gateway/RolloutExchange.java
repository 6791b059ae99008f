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
 * Exchanges the state of roll-outs with peers. A leaf sends its evidence to its hub, a hub sends
 * the sum of its own and its leaves' evidence to other hubs, and all are sent the phase. A peer's
 * evidence replaces its earlier evidence, so that nothing is counted twice.
 */
final class RolloutExchange {
    private final RolloutManager manager;
    private final LongSupplier nowMillis;
    private final Map<String, Map<Long, List<RouteEvidence>>> evidenceByPeer = new HashMap<>();

    RolloutExchange(RolloutManager manager, LongSupplier nowMillis) {
        this.manager = manager;
        this.nowMillis = nowMillis;
    }

    /** Sends a report to the peers if there is any roll-out. */
    void send(Mesh mesh, Collection<Peer> peers) {
        // an order not yet found in the store's new history has a revision of the lost history
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
     * Applies a peer's report; invalid evidence is logged and left out.
     *
     * @param sameHistory false if the peer may know another history of the store
     */
    void receive(NodeHello peer, RolloutReport report, boolean sameHistory) {
        Map<Long, List<RouteEvidence>> reported = new HashMap<>();
        for (RolloutUpdate update : report.rollouts()) {
            List<RouteEvidence> valid =
                    update.evidence().stream().filter(RouteEvidence::isValid).toList();
            if (valid.size() < update.evidence().size()) {
                DecisionLog.write(
                        new Lifecycle("peer " + peer.name(), "figures refused", update.toString()));
            }
            reported.put(update.order().revision(), valid);
            manager.receive(update, sameHistory);
        }
        evidenceByPeer.put(peer.name(), reported);
    }

    /** Drops the evidence of a peer that does not respond. */
    void forget(String peer) {
        evidenceByPeer.remove(peer);
    }

    /** Returns the sum of the evidence of this process and of the given peers. */
    List<RouteEvidence> evidence(Rollout rollout, Collection<String> peers) {
        Stream<RouteEvidence> reported =
                peers.stream()
                        .map(peer -> evidenceByPeer.getOrDefault(peer, Map.of()))
                        .flatMap(
                                byOrder ->
                                        byOrder
                                                .getOrDefault(rollout.order().revision(), List.of())
                                                .stream());
        return RouteEvidence.sum(Stream.concat(rollout.evidence().stream(), reported));
    }

    private RolloutReport report(List<String> leaves, boolean withEvidence) {
        long now = nowMillis.getAsLong();
        List<RolloutUpdate> updates = new ArrayList<>();
        for (Rollout rollout : manager.rollouts()) {
            List<RouteEvidence> evidence =
                    withEvidence ? evidence(rollout, leaves) : List.<RouteEvidence>of();
            updates.add(rollout.update(evidence, now));
        }
        return new RolloutReport(updates);
    }
}
