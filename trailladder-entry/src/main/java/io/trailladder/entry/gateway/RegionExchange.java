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

import io.trailladder.core.duty.UsageLedger;
import io.trailladder.core.upstream.RegionUse;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.core.upstream.UpstreamUse;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.gateway.DigestWriter.SenderState;
import io.trailladder.entry.mesh.Mesh;
import io.trailladder.entry.mesh.RegionView;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.RegionDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exchanges digests between regions.
 *
 * <p>Of the hubs of a region that receive each other's digests the first in rank is its
 * representative: it sends the sums of the region to the hubs of other regions that it is linked
 * to, which forward the message unchanged to the hubs of their own region. A sum is identified by
 * its original sender, so it counts once on however many paths it arrives, and of two
 * representatives of one region only the first in rank counts.
 */
final class RegionExchange {
    /**
     * Maximum age of the last message of a hub for it to count as present, in milliseconds: three
     * digests. Including the next digest of its replacement, updates of a region resume within 1.2
     * s.
     */
    static final long FRESH_MAX_AGE_MILLIS = 700;

    /**
     * Interval at which hubs that are not the representative send the versions they know to other
     * regions, in milliseconds: short enough that their links are not taken for dead.
     */
    private static final long STANDBY_INTERVAL_MILLIS = 600;

    private final DirectoryManager directory;
    private final UpstreamLoads loads;
    private final UsageLedger usage;
    private final DigestParts parts;
    private final DigestWriter writer;

    /** The representatives of other regions, by name. */
    private final Map<String, Peer> representatives = new HashMap<>();

    /** The representative that counts for each region; a region that is lost has none. */
    private final Map<String, Peer> countedByRegion = new HashMap<>();

    /** When a hub of the own region with a better rank last forwarded a region's message. */
    private final Map<String, Long> forwardedMillis = new HashMap<>();

    /** Which representative of the own region counts at each linked hub of another region. */
    private final Map<String, RemoteView> remoteViews = new HashMap<>();

    private boolean representative;
    private long standbyMillis;

    /**
     * The representative of the own region that counts at a hub of another region, and when that
     * was received.
     */
    private record RemoteView(String representative, long atMillis) {}

    RegionExchange(
            DirectoryManager directory,
            UpstreamLoads loads,
            UsageLedger usage,
            DigestParts parts,
            DigestWriter writer) {
        this.directory = directory;
        this.loads = loads;
        this.usage = usage;
        this.parts = parts;
        this.writer = writer;
    }

    /** Returns the representatives of other regions whose figures count at this process. */
    Collection<Peer> counted() {
        return countedByRegion.values();
    }

    /**
     * Returns whether a peer belongs to another region, is not a leaf of this process, and is not
     * its hub.
     */
    static boolean isElsewhere(Mesh mesh, RegionView view, Peer peer) {
        return view.isOtherRegion(peer.hello()) && !peer.isLeaf() && !mesh.isOwnHub(peer.hello());
    }

    /**
     * Returns the age of the last digest of each region that is being received, in milliseconds.
     */
    Map<String, Long> ages(long nowMillis) {
        Map<String, Long> ages = new HashMap<>();
        countedByRegion.forEach(
                (region, peer) -> ages.put(region, nowMillis - peer.digestMillis()));
        return ages;
    }

    /** Returns whether this process represents its region. */
    boolean isRepresentative() {
        return representative;
    }

    /**
     * Removes regions that are not responding, and determines whether this process represents its
     * own.
     */
    void tick(Mesh mesh, RegionView view, Collection<Peer> own, long nowMillis) {
        for (Peer peer : List.copyOf(representatives.values())) {
            if (nowMillis - peer.digestMillis() > FRESH_MAX_AGE_MILLIS) {
                representatives.remove(peer.name());
                stopCounting(peer);
                if (countedByRegion.remove(view.region(peer.hello()), peer)) {
                    log(view.region(peer.hello()), "lost", peer.name());
                }
            }
        }
        boolean first = mesh.isHub() && isFirst(view, own, nowMillis);
        if (first != representative) {
            representative = first;
            log(
                    view.region(view.self()),
                    first ? "spoken for" : "not spoken for",
                    "by this process");
        }
    }

    /** Sends the state of the own region to other regions. */
    void send(
            Mesh mesh,
            RegionView view,
            SenderState state,
            Collection<Peer> linked,
            Collection<Peer> own,
            int processes,
            long nowMillis) {
        List<Peer> elsewhere = new ArrayList<>();
        for (Peer peer : linked) {
            if (isElsewhere(mesh, view, peer)) {
                elsewhere.add(peer);
            }
        }
        if (elsewhere.isEmpty()) {
            return;
        }
        if (!representative) {
            sendStandby(mesh, view, state, elsewhere, nowMillis);
            return;
        }
        List<UpstreamUse> uses =
                RegionUse.of(
                        loads.groupUses(Peer.names(own)),
                        directory::find,
                        view.region(view.self()),
                        view::isOwnRegion);
        NodeDigest sums = writer.region(state, own, processes, uses, nowMillis);
        Map<String, Peer> usageReceivers = usageReceivers(view, elsewhere, nowMillis);
        for (Peer peer : elsewhere) {
            boolean receivesUsage = usageReceivers.containsValue(peer);
            NodeDigest digest =
                    receivesUsage
                            ? sums.withUsage(writer.regionUsageChanges(peer.usageSent()))
                            : sums;
            boolean sent =
                    mesh.send(
                            peer.name(),
                            new RegionDigest(
                                    true, countedRepresentative(view, peer), view.self(), digest));
            if (sent && receivesUsage) {
                peer.usageSent(usage.sequence());
            }
        }
    }

    /**
     * Applies a digest of another region.
     *
     * @param sender the hub that sent or forwarded the message
     * @param hubs the other hubs of the own region
     */
    void received(
            Mesh mesh,
            RegionView view,
            NodeHello sender,
            RegionDigest message,
            Collection<Peer> hubs,
            long nowMillis) {
        NodeHello origin = message.origin();
        if (origin.name().equals(sender.name())) {
            remoteViews.put(sender.name(), new RemoteView(message.receivesFrom(), nowMillis));
        }
        if (!view.isOtherRegion(origin) || !message.represents()) {
            return;
        }
        boolean direct = origin.name().equals(sender.name());
        String region = view.region(origin);
        if (!direct && view.rank(sender) < view.rank(view.self())) {
            forwardedMillis.put(region, nowMillis);
        }
        Peer peer =
                representatives.compute(
                        origin.name(),
                        (name, known) -> Peer.ofIncarnation(known, origin, nowMillis));
        peer.received(ValidFigures.of(peer.name(), message.digest()), nowMillis);
        if (!counts(view, peer, region, nowMillis)) {
            stopCounting(peer);
            return;
        }
        apply(view, region, peer, message.digest(), nowMillis);
        if (direct
                && nowMillis - forwardedMillis.getOrDefault(region, -FRESH_MAX_AGE_MILLIS)
                        >= FRESH_MAX_AGE_MILLIS) {
            mesh.send(Peer.names(hubs), message);
        }
    }

    /**
     * Selects the representative that counts for a region, the first in rank whose digests are
     * recent, and returns whether it is the given one.
     */
    private boolean counts(RegionView view, Peer peer, String region, long nowMillis) {
        Peer before = countedByRegion.get(region);
        if (before == peer) {
            return true;
        }
        if (before != null && before.name().equals(peer.name())) {
            countedByRegion.put(region, peer);
            return true;
        }
        boolean better = before == null || view.rank(peer.hello()) < view.rank(before.hello());
        if (!better && nowMillis - before.digestMillis() <= FRESH_MAX_AGE_MILLIS) {
            return false;
        }
        if (before != null) {
            stopCounting(before);
        }
        countedByRegion.put(region, peer);
        log(region, before == null ? "heard" : "told by another", peer.name());
        return true;
    }

    private void apply(
            RegionView view, String region, Peer peer, NodeDigest digest, long nowMillis) {
        LeavingIncarnations.of(digest)
                .forEach(upstream -> directory.leavingReportedBy(upstream, peer.name()));
        digest.usage()
                .forEach(
                        history ->
                                usage.mergeFromOtherRegion(history.incarnation(), history.usage()));
        loads.setPeerUses(
                peer.name(),
                RegionUse.spread(digest.uses(), region, directory.all(), view::regionOf));
        parts.received(peer.name(), digest, nowMillis);
    }

    private void stopCounting(Peer peer) {
        loads.peerLost(peer.name());
        parts.forget(peer.name());
    }

    private boolean isFirst(RegionView view, Collection<Peer> own, long nowMillis) {
        int rank = view.rank(view.self());
        for (Peer peer : own) {
            boolean fresh = nowMillis - peer.digestMillis() <= FRESH_MAX_AGE_MILLIS;
            if (fresh && peer.hasReported() && view.rank(peer.hello()) < rank) {
                return isMissingElsewhere(view, nowMillis);
            }
        }
        return true;
    }

    /**
     * Returns whether a linked hub of another region receives no representative of the own region,
     * or only this process. The first hub in rank may not reach the other regions; the next one is
     * then a representative as well.
     */
    private boolean isMissingElsewhere(RegionView view, long nowMillis) {
        remoteViews
                .values()
                .removeIf(remote -> nowMillis - remote.atMillis() > FRESH_MAX_AGE_MILLIS);
        for (RemoteView remote : remoteViews.values()) {
            if (remote.representative().isEmpty()
                    || remote.representative().equals(view.self().name())) {
                return true;
            }
        }
        return false;
    }

    private String countedRepresentative(RegionView view, Peer remote) {
        Peer counted = countedByRegion.get(view.region(remote.hello()));
        return counted == null ? "" : counted.name();
    }

    private void sendStandby(
            Mesh mesh, RegionView view, SenderState state, List<Peer> elsewhere, long nowMillis) {
        if (nowMillis - standbyMillis >= STANDBY_INTERVAL_MILLIS) {
            standbyMillis = nowMillis;
            NodeDigest versions = writer.versions(state);
            for (Peer peer : elsewhere) {
                mesh.send(
                        peer.name(),
                        new RegionDigest(
                                false, countedRepresentative(view, peer), view.self(), versions));
            }
        }
    }

    /**
     * Returns one process of each region, the first in rank that is present: only that one is sent
     * changes of usage.
     */
    private static Map<String, Peer> usageReceivers(
            RegionView view, List<Peer> elsewhere, long nowMillis) {
        Map<String, Peer> first = new HashMap<>();
        for (Peer peer : elsewhere) {
            if (nowMillis - peer.digestMillis() <= FRESH_MAX_AGE_MILLIS) {
                first.merge(
                        view.region(peer.hello()),
                        peer,
                        (one, other) ->
                                view.rank(one.hello()) <= view.rank(other.hello()) ? one : other);
            }
        }
        return first;
    }

    private static void log(String region, String what, String detail) {
        DecisionLog.write(new Lifecycle("region " + region, what, detail));
    }
}
