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

import com.dynatrace.hash4j.hashing.Hashing;
import io.trailladder.entry.mesh.Mesh;
import io.trailladder.entry.mesh.RegionView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Selects the process that this one asks for units of an organisation's limit: a leaf asks its hub,
 * and the hubs ask the one of them that pools the units of the organisation. With several regions
 * each has a pool, and the pools ask one of them. Processes that know different hubs may select
 * different pools; then units are in several places, but not more of them. A hub at which no units
 * accrue yet pools none: it asks another one.
 */
final class LimitSuppliers {
    /** Maximum age of the last message of a hub that is selected, in milliseconds. */
    private static final long FRESH_MAX_AGE_MILLIS = 600;

    /**
     * How long a process without a link expects to find one, in milliseconds. A lost hub is
     * detected after 1.2 s at most, and the next one is linked within 0.4 s.
     */
    private static final long LINK_CHANGE_MILLIS = 2_000;

    /**
     * Minimum time without a message after which a leaf leaves a hub that has not answered it, in
     * milliseconds: one digest and a half.
     */
    private static final long SILENT_MILLIS = 300;

    private final LongSupplier nowMillis;
    private final Mesh mesh;
    private final LinkedPeers peers;
    private final RegionExchange regions;
    private final BooleanSupplier accruing;

    /** Peers that can be asked for units; those of an older build cannot. */
    private final Set<String> capable = new HashSet<>();

    /** When a message of a peer about limits last came. */
    private final Map<String, Long> heardMillis = new HashMap<>();

    /** When a request to a peer was last found to be unanswered. */
    private final Map<String, Long> unansweredMillis = new HashMap<>();

    private long linkedMillis;

    LimitSuppliers(
            LongSupplier nowMillis,
            Mesh mesh,
            LinkedPeers peers,
            RegionExchange regions,
            BooleanSupplier accruing) {
        this.nowMillis = nowMillis;
        this.mesh = mesh;
        this.peers = peers;
        this.regions = regions;
        this.accruing = accruing;
        this.linkedMillis = nowMillis.getAsLong();
    }

    /** Records that a peer can be asked. */
    void capable(String peer) {
        capable.add(peer);
    }

    /** Forgets what is known of a peer: it may have started again, with an older build. */
    void linked(String peer) {
        capable.remove(peer);
        forget(peer);
    }

    /** Forgets when a peer that does not respond, or does not count any more, was heard. */
    void forget(String peer) {
        heardMillis.remove(peer);
        unansweredMillis.remove(peer);
    }

    /** Records a message about limits. */
    void heard(String peer) {
        heardMillis.put(peer, nowMillis.getAsLong());
    }

    /** Records that a peer did not answer in time. */
    void unanswered(String peer) {
        unansweredMillis.put(peer, nowMillis.getAsLong());
    }

    /** Makes a leaf leave a hub that has neither answered nor sent anything else. */
    void check() {
        if (mesh.isHub()) {
            return;
        }
        ownHub().filter(hub -> !isResponsive(hub))
                .filter(hub -> nowMillis.getAsLong() - lastMillis(hub) >= SILENT_MILLIS)
                .ifPresent(
                        hub -> {
                            capable.remove(hub.name());
                            mesh.avoid(hub.hello());
                        });
    }

    /**
     * Returns whether this process relies on another one for units.
     *
     * @param organisation the organisation
     * @return true also while this process has no link to another one yet, or is changing its hub,
     *     and before units accrue here
     */
    boolean exists(String organisation) {
        if (!mesh.isPlanned() || !accruing.getAsBoolean()) {
            linkedMillis = nowMillis.getAsLong();
            return true;
        }
        boolean linked = mesh.isHub() ? isAnyCapable() : ownHub().isPresent();
        if (linked || mesh.size() == 1) {
            linkedMillis = nowMillis.getAsLong();
            return supplierNeeded(organisation);
        }
        return nowMillis.getAsLong() - linkedMillis < LINK_CHANGE_MILLIS;
    }

    private boolean isAnyCapable() {
        return peers.all().stream().anyMatch(peer -> capable.contains(peer.name()));
    }

    private boolean supplierNeeded(String organisation) {
        return mesh.isHub() ? supplier(organisation).isPresent() : mesh.size() > 1;
    }

    /**
     * Returns whether the pool of this region is at this process.
     *
     * @param organisation the organisation
     * @return true also for a process that has no link
     */
    boolean holdsPool(String organisation) {
        return mesh.isHub() ? inRegion(organisation).isEmpty() : !exists(organisation);
    }

    /**
     * Returns the process to ask.
     *
     * @param organisation the organisation
     * @return a responsive peer; empty if there is none, or none is needed
     */
    Optional<Peer> supplier(String organisation) {
        if (!mesh.isHub()) {
            return ownHub().filter(this::isResponsive);
        }
        Optional<Peer> inRegion = inRegion(organisation);
        return inRegion.isPresent() ? inRegion : inOtherRegion(organisation);
    }

    private Optional<Peer> ownHub() {
        return peers.all().stream()
                .filter(peer -> mesh.isOwnHub(peer.hello()) && capable.contains(peer.name()))
                .findFirst();
    }

    private Optional<Peer> inRegion(String organisation) {
        Optional<RegionView> view = mesh.regions();
        Peer best = null;
        for (Peer peer : peers.ownHubs()) {
            if (isSelectable(peer) && isBefore(view, organisation, peer, best)) {
                best = peer;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Whether a hub ranks before another one, or before this process if there is no other. Before
     * units accrue here, each ranks before this process.
     */
    private boolean isBefore(
            Optional<RegionView> view, String organisation, Peer peer, Peer other) {
        if (other == null && !accruing.getAsBoolean()) {
            return true;
        }
        if (view.isPresent()) {
            int rank = other == null ? view.get().rank(view.get().self()) : rank(view.get(), other);
            return rank(view.get(), peer) < rank;
        }
        String name = other == null ? mesh.name() : other.name();
        return hash(organisation, peer.name()) > hash(organisation, name);
    }

    private static int rank(RegionView view, Peer peer) {
        return view.rank(peer.hello());
    }

    private Optional<Peer> inOtherRegion(String organisation) {
        if (mesh.regions().isEmpty()) {
            return Optional.empty();
        }
        RegionView view = mesh.regions().get();
        Peer best = null;
        long most =
                accruing.getAsBoolean()
                        ? hash(organisation, view.region(view.self()))
                        : Long.MIN_VALUE;
        for (Peer peer : List.copyOf(regions.counted())) {
            long hash = hash(organisation, view.region(peer.hello()));
            if (isSelectable(peer) && hash > most) {
                best = peer;
                most = hash;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isSelectable(Peer peer) {
        boolean fresh = nowMillis.getAsLong() - lastMillis(peer) <= FRESH_MAX_AGE_MILLIS;
        return fresh && capable.contains(peer.name()) && isResponsive(peer);
    }

    /** Whether a peer has sent something since it last left a request unanswered. */
    private boolean isResponsive(Peer peer) {
        Long unanswered = unansweredMillis.get(peer.name());
        return unanswered == null || lastMillis(peer) > unanswered;
    }

    private long lastMillis(Peer peer) {
        return Math.max(peer.digestMillis(), heardMillis.getOrDefault(peer.name(), 0L));
    }

    private static long hash(String organisation, String name) {
        return Hashing.xxh3_64().hashCharsToLong(organisation + '/' + name);
    }
}
