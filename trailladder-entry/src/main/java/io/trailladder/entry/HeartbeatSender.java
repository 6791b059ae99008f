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
package io.trailladder.entry;

import io.trailladder.core.table.RowKey;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.entry.serve.ClaimService;
import io.trailladder.entry.serve.DataCentreChooser;
import io.trailladder.entry.serve.Placements;
import io.trailladder.entry.serve.RowPolicies;
import io.trailladder.entry.sync.Members;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.Heartbeat;
import io.trailladder.wire.PeerMessage.RowDemand;
import io.trailladder.wire.PeerMessage.TargetLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Sends heartbeats, divides limits by the demand in the peers' heartbeats, and detects peers that
 * no longer respond.
 *
 * @since 0.1
 */
final class HeartbeatSender {
    private final EntryInfo self;
    private final PeerLinks links;
    private final Placements placements;
    private final RowPolicies policies;
    private final ClaimService claims;
    private final DataCentreChooser chooser;
    private final Members members;
    private final BooleanSupplier draining;
    private final Consumer<EntryInfo> onLost;
    private final Set<String> lostPeers = new HashSet<>();

    HeartbeatSender(
            EntryInfo self,
            PeerLinks links,
            Placements placements,
            RowPolicies policies,
            ClaimService claims,
            DataCentreChooser chooser,
            Members members,
            BooleanSupplier draining,
            Consumer<EntryInfo> onLost) {
        this.self = self;
        this.links = links;
        this.placements = placements;
        this.policies = policies;
        this.claims = claims;
        this.chooser = chooser;
        this.members = members;
        this.draining = draining;
        this.onLost = onLost;
    }

    /** Sends a heartbeat with the demand since the last one, and evaluates those of the peers. */
    void sendHeartbeats() {
        links.sendAll(heartbeat(policies.measureDemand()));
        shareLimits();
        detectLostPeers();
    }

    /** Creates a heartbeat. */
    Heartbeat heartbeat(List<RowDemand> demand) {
        List<TargetLoad> loads = new ArrayList<>();
        placements
                .minQueueMillis()
                .forEach((target, wait) -> loads.add(new TargetLoad(target, wait)));
        return new Heartbeat(
                policies.table().revision(),
                claims.mapVersion(),
                draining.getAsBoolean(),
                loads,
                demand);
    }

    private void shareLimits() {
        Map<RowKey, Double> others = new HashMap<>();
        int peers = 0;
        for (EntryInfo peer : links.live()) {
            Optional<Heartbeat> heartbeat = chooser.heartbeat(peer.id());
            if (heartbeat.isPresent()) {
                peers++;
                for (RowDemand demand : heartbeat.get().demands()) {
                    RowKey key = new RowKey(demand.organisation(), demand.target());
                    others.merge(key, demand.perSecond(), Double::sum);
                }
            }
        }
        policies.updateShares(others, peers);
    }

    /**
     * Reports each known entry that is not live as lost, once until it is live again. This includes
     * peers that are linked but do not respond, because they are frozen or cut off.
     */
    private void detectLostPeers() {
        Set<String> live = new HashSet<>();
        links.live().forEach(peer -> live.add(peer.id()));
        lostPeers.removeIf(live::contains);
        for (EntryInfo entry : members.known()) {
            boolean lost = !live.contains(entry.id()) && !entry.id().equals(self.id());
            if (lost && lostPeers.add(entry.id())) {
                onLost.accept(entry);
            }
        }
    }
}
