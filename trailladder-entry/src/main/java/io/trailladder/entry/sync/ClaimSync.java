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
package io.trailladder.entry.sync;

import io.trailladder.core.claim.ClaimAction.Propose;
import io.trailladder.core.claim.RangeAssignment;
import io.trailladder.core.claim.RangeMap;
import io.trailladder.core.claim.RangePlanner.Member;
import io.trailladder.core.claim.RangePlanner.View;
import io.trailladder.entry.PeriodicTasks;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.entry.serve.ClaimService;
import io.trailladder.entry.serve.DataCentreChooser;
import io.trailladder.platform.RangeStore;
import io.trailladder.wire.PeerMessage.Heartbeat;
import io.trailladder.wire.PeerMessage.RangeMapUpdate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Keeps the range map up to date and writes the planner's proposals to the platform.
 *
 * @since 0.1
 */
public final class ClaimSync {
    private static final long TICK_MILLIS = 500;
    private static final long READER_INTERVAL_MILLIS = 2_000;
    private static final long OTHER_INTERVAL_MILLIS = 10_000;
    private static final int READERS = 2;
    private static final long REGISTERED_MAX_AGE_MILLIS = 10_000;
    private static final long SETTLE_MILLIS = 1_500;
    private static final long REMOVED_AFTER_MILLIS = 45_000;

    private final ClaimService claims;
    private final RangeStore store;
    private final PeerLinks links;
    private final Members members;
    private final DataCentreChooser heartbeats;
    private final ScheduledExecutorService timer;
    private final AtomicBoolean busy = new AtomicBoolean();
    private final long startedMillis = System.currentTimeMillis();
    private volatile boolean draining;
    private final Map<String, Long> missingSince = new ConcurrentHashMap<>();
    private long readMillis;

    /**
     * Creates the sync.
     *
     * @param claims the claims
     * @param store the range map in the platform's key-value service
     * @param links sends to peers
     * @param members provides the rank of this entry
     * @param heartbeats provides which peers are stopping
     * @param timer runs the periodic task
     */
    public ClaimSync(
            ClaimService claims,
            RangeStore store,
            PeerLinks links,
            Members members,
            DataCentreChooser heartbeats,
            ScheduledExecutorService timer) {
        this.claims = claims;
        this.store = store;
        this.links = links;
        this.members = members;
        this.heartbeats = heartbeats;
        this.timer = timer;
    }

    /** Starts the periodic task. */
    public void start() {
        PeriodicTasks.repeat(timer, "claims", this::tick, TICK_MILLIS);
    }

    /** Starts handing all ranges over to other entries. */
    public void drain() {
        draining = true;
    }

    private void tick() {
        claims.maintain();
        long now = System.currentTimeMillis();
        boolean reader = draining || members.rank("ranges") < READERS;
        boolean due = now - readMillis >= (reader ? READER_INTERVAL_MILLIS : OTHER_INTERVAL_MILLIS);
        boolean settled = now - startedMillis > SETTLE_MILLIS;
        boolean wanted = settled && claims.plan(view(now)).isPresent();
        if ((due || wanted) && busy.compareAndSet(false, true)) {
            readMillis = now;
            store.read()
                    .thenCompose(read -> settled ? propose(read.map()) : onlyRead(read.map()))
                    .whenComplete((done, failure) -> busy.set(false));
        }
    }

    private CompletableFuture<Void> onlyRead(RangeMap map) {
        applyMap(map);
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Proposes changes to a map that was just read. Ranges are sealed only after the platform has
     * answered, so that none are sealed during an outage.
     */
    private CompletableFuture<Void> propose(RangeMap map) {
        applyMap(map);
        Optional<Propose> proposal = claims.plan(view(System.currentTimeMillis()));
        if (proposal.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        claims.seal(proposal.get());
        return store.change(proposal.get().changes()).thenAccept(this::applyMap);
    }

    private void applyMap(RangeMap map) {
        long before = claims.mapVersion();
        claims.mapRead(map);
        if (claims.mapVersion() > before) {
            links.sendAll(new RangeMapUpdate(map));
        }
    }

    private View view(long now) {
        List<Member> live = new ArrayList<>();
        List<io.trailladder.core.membership.PeerTopology.Member> all = members.live();
        for (int i = 0; i < all.size(); i++) {
            String id = all.get(i).id();
            boolean self = i == 0;
            boolean stopping =
                    self
                            ? draining
                            : heartbeats.heartbeat(id).map(Heartbeat::draining).orElse(false);
            if (!stopping) {
                live.add(new Member(id, all.get(i).dataCentre()));
            }
        }
        return new View(live, presentClaimHolders(now, live));
    }

    /**
     * Returns the owners and backups of ranges that are not known to have ended. One counts as
     * ended only after it was neither live nor in a recent list of the platform for longer than a
     * lease lasts, because both are still incomplete after a start.
     */
    private Set<String> presentClaimHolders(long now, List<Member> live) {
        Set<String> registered = members.registered(now, REGISTERED_MAX_AGE_MILLIS);
        Set<String> present = new HashSet<>();
        for (String holder : claimHolders()) {
            boolean isLive = live.stream().anyMatch(member -> member.id().equals(holder));
            if (registered == null || registered.contains(holder) || isLive) {
                missingSince.remove(holder);
            } else {
                missingSince.putIfAbsent(holder, now);
            }
            if (now - missingSince.getOrDefault(holder, now) < REMOVED_AFTER_MILLIS) {
                present.add(holder);
            }
        }
        missingSince.keySet().retainAll(claimHolders());
        return present;
    }

    private Set<String> claimHolders() {
        Set<String> names = new HashSet<>();
        for (RangeAssignment assignment : claims.map().ranges()) {
            names.add(assignment.owner());
            names.add(assignment.backup());
        }
        return names;
    }
}
