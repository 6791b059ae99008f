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
import io.trailladder.core.engine.EngineEvidence;
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.engine.ServiceLoad;
import io.trailladder.core.membership.MemberCount;
import io.trailladder.core.membership.MemberCount.Reading;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.entry.gateway.DigestWriter.SenderState;
import io.trailladder.entry.mesh.Mesh;
import io.trailladder.entry.mesh.MeshListener;
import io.trailladder.entry.mesh.RegionView;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.RegionDigest;
import io.trailladder.wire.NodeMessage.RolloutReport;
import io.trailladder.wire.NodeMessage.Snapshot;
import io.trailladder.wire.NodeMessage.SnapshotAsk;
import io.trailladder.wire.NodeMessage.UpstreamNews;
import io.trailladder.wire.NodeMessage.UsageHistory;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * What the peers tell, and what they are told.
 *
 * <p>A leaf tells its hub its own figures and is told those of all others. Hubs tell each other
 * their own figures with those of their leaves. Where there are few processes, all are hubs.
 *
 * @since 0.2
 */
public final class ClusterView implements MeshListener {
    /** How often peers are told, in milliseconds. */
    public static final long DIGEST_INTERVAL_MILLIS = 200;

    private static final long FED_MAX_AGE_MILLIS = 800;

    /**
     * Least time between two digests that are told out of turn, in milliseconds: many upstreams may
     * leave or end at once, and a digest takes a hub some processor time.
     */
    private static final long MIN_EXTRA_DIGEST_INTERVAL_MILLIS = 50;

    private final LongSupplier nowMillis;
    private final PolicyManager policies;
    private final DirectoryManager directory;
    private final StoreHealth store;
    private final LimitExchange limits;
    private final UpstreamLoads loads;
    private final UsageLedger usage;
    private final EngineModel engines;
    private final DigestParts parts = new DigestParts();
    private final DigestWriter writer;
    private final SnapshotExchange snapshots;
    private final RegionExchange regions;
    private final LeavingUpdates leavingUpdates;
    private final EpochUpdates epochUpdates;
    private final LinkedPeers peers;
    private Optional<RolloutExchange> rollouts = Optional.empty();
    private BooleanSupplier leads = () -> false;
    private Mesh mesh;
    private boolean draining;
    private long extraDigestMillis = -MIN_EXTRA_DIGEST_INTERVAL_MILLIS;
    private List<Peer> evidencePeers = List.of();
    private boolean evidenceReceived;

    /**
     * Creates a view without peers.
     *
     * @param nowMillis tells the time
     * @param policies the policy in force
     * @param directory the list of upstreams
     * @param store whether the store answers
     * @param quotas the organisations' limits
     * @param loads the work under way at upstreams
     * @param usage counts requests that began to run
     * @param demand measures the load of services here
     * @param engines learns how fast upstreams are
     * @param metrics the process's figures
     * @param restarted true if other processes may have served before this one started
     */
    public ClusterView(
            LongSupplier nowMillis,
            PolicyManager policies,
            DirectoryManager directory,
            StoreHealth store,
            Quotas quotas,
            UpstreamLoads loads,
            UsageLedger usage,
            DemandMeter demand,
            EngineModel engines,
            GatewayMetrics metrics,
            boolean restarted) {
        this.nowMillis = nowMillis;
        this.policies = policies;
        this.directory = directory;
        this.store = store;
        this.limits = new LimitExchange(quotas, restarted);
        this.loads = loads;
        this.usage = usage;
        this.engines = engines;
        this.writer =
                new DigestWriter(policies, directory, quotas, loads, usage, demand, engines, parts);
        this.snapshots = new SnapshotExchange(nowMillis, policies, directory, store, metrics);
        this.regions = new RegionExchange(directory, limits, loads, usage, parts, writer);
        this.peers = new LinkedPeers(nowMillis, regions);
        this.leavingUpdates = new LeavingUpdates(directory::leavingIncarnation);
        this.epochUpdates = new EpochUpdates(store.history());
        directory.onLeaving(upstream -> recordLeaving(upstream.id()));
        directory.onUpdate(this::forward);
        // before anything of the new history is passed on, so that nobody takes it for the old one
        store.history().onReplaced(this::historyReplaced);
    }

    /**
     * Begins to tell the peers, at once what changes, the rest with each {@link #tick}.
     *
     * @param links the links to them
     * @param leading tells whether this process leads
     */
    public void start(Mesh links, BooleanSupplier leading) {
        mesh = links;
        peers.setMesh(links);
        leads = leading;
        policies.onChange(policy -> sendDigests());
    }

    /**
     * Has the peers told of roll-outs too.
     *
     * @param exchange tells them and hears them
     */
    void rollouts(RolloutExchange exchange) {
        rollouts = Optional.of(exchange);
    }

    /**
     * Has a task run when a peer knew of a change of the upstreams that the store has not told here
     * though it answers.
     *
     * @param task the task
     */
    void onMissedChange(Runnable task) {
        snapshots.onMissed(task);
    }

    /**
     * Returns what peers are told of the store's epoch.
     *
     * @return the news
     */
    EpochUpdates epochUpdates() {
        return epochUpdates;
    }

    /**
     * Has a part of the product told and heard with each digest.
     *
     * @param part tells its like at the peers
     */
    void add(DigestPart part) {
        parts.add(part);
    }

    /**
     * Returns the peers whose figures count here.
     *
     * @return their names
     */
    List<String> countedPeers() {
        return Peer.names(peers.counted());
    }

    /** Has the peers told that this process stops. */
    public void draining() {
        draining = true;
        sendDigests();
    }

    /**
     * Returns how many processes share limits: this one, those the store lists, those heard.
     *
     * @return a count of at least 1
     */
    public int sharingProcesses() {
        List<Peer> counted = peers.counted();
        return sharingProcesses(counted, peers.totalProcesses(counted));
    }

    private int sharingProcesses(List<Peer> counted, int heard) {
        Reading own = new Reading(membersRead(), store.isReachable());
        List<Reading> read = new ArrayList<>(counted.size());
        for (Peer peer : counted) {
            read.add(peer.members());
        }
        return MemberCount.of(own, read, heard);
    }

    /** Returns how many processes this one has read in the store; 0 if it has read none. */
    private int membersRead() {
        return mesh.isPlanned() ? mesh.size() : 0;
    }

    /**
     * Returns how many peers are linked and not silent.
     *
     * @return a count
     */
    public int respondingPeers() {
        return peers.size();
    }

    /**
     * Tells what is known of other regions.
     *
     * @return the exchange with them
     */
    RegionExchange regions() {
        return regions;
    }

    /**
     * Returns how many processes' figures were heard just now, this one's included.
     *
     * @return a count of at least 1
     */
    public int totalProcesses() {
        return peers.totalProcesses(peers.counted());
    }

    /**
     * Returns the age of the oldest digest that counts.
     *
     * @return milliseconds; 0 without peers
     */
    public long oldestDigestMillis() {
        long now = nowMillis.getAsLong();
        long oldest = 0;
        for (Peer peer : peers.counted()) {
            oldest = Math.max(oldest, now - peer.digestMillis());
        }
        return oldest;
    }

    /**
     * Returns the load of a service over all heard processes.
     *
     * @param service the service
     * @param upstreams its upstreams, leaving ones too
     * @return the load now
     */
    public ServiceLoad load(String service, Collection<Upstream> upstreams) {
        int running = loads.requests(upstreams);
        for (ServiceDemand sum : writer.sum(peers.counted(), nowMillis.getAsLong())) {
            if (sum.service().equals(service)) {
                return new ServiceLoad(sum.tokensPerMilli(), sum.squaredTokensPerMilli(), running);
            }
        }
        return new ServiceLoad(0, 0, running);
    }

    /**
     * Tells whether a peer tells this process of policy and upstreams in time, so that it need not
     * follow the store itself.
     *
     * @param before true if that was so until now
     * @return false for the store's followers, and while those that tell it are silent or cannot
     *     reach the store
     */
    public boolean isFed(boolean before) {
        long oldest = nowMillis.getAsLong() - FED_MAX_AGE_MILLIS;
        return peers.counted().stream()
                .filter(peer -> !peer.isLeaf() && mesh.isFedBy(peer.hello()))
                .filter(peer -> peer.isStoreReachable() && peer.digestMillis() >= oldest)
                .filter(peer -> store.history().mayMatch(peer.storeEpoch()))
                .anyMatch(peer -> before || snapshots.isAsRecentAs(peer));
    }

    @Override
    public boolean isNeeded() {
        return leads.getAsBoolean() || !peers.leaves().isEmpty();
    }

    @Override
    public void linked(NodeHello hello) {
        DecisionLog.write(
                new DecisionLog.Lifecycle("peer " + hello.name(), "linked", hello.address()));
        Peer peer = peers.linked(hello);
        parts.linked(peer.name(), nowMillis.getAsLong());
        epochUpdates.sendWithNext();
        sendDigestsTo(List.of(peer));
        rollouts.ifPresent(exchange -> exchange.send(mesh, List.of(peer)));
        snapshots.linked(mesh, hello);
    }

    @Override
    public void received(NodeHello hello, NodeMessage message) {
        if (message instanceof NodeDigest digest) {
            digest(peers.of(hello), digest);
        } else if (message instanceof RegionDigest digest) {
            mesh.regions().ifPresent(view -> regionDigest(view, hello, digest));
        } else if (message instanceof UsageHistory history) {
            usage.merge(history.life(), history.usage(), peers.isLeaf(hello.name()));
        } else if (message instanceof SnapshotAsk ask) {
            snapshots.requestReceived(mesh, peers.of(hello), ask);
        } else if (message instanceof UpstreamNews news && mesh.isFedBy(hello)) {
            upstreamNews(peers.of(hello), news);
        } else if (message instanceof Snapshot snapshot) {
            snapshots.snapshotReceived(mesh, peers.of(hello), snapshot);
        } else if (message instanceof RolloutReport report) {
            rolloutReport(peers.of(hello), report);
        }
    }

    private void rolloutReport(Peer from, RolloutReport report) {
        StoreHistory history = store.history();
        boolean sameHistory = from.storeEpoch() == history.epoch();
        if (history.mayMatch(from.storeEpoch())) {
            rollouts.ifPresent(exchange -> exchange.receive(from.hello(), report, sameHistory));
        }
    }

    private void upstreamNews(Peer from, UpstreamNews news) {
        if (store.history().mayMatch(from.storeEpoch())) {
            directory.applyFromPeer(news);
        } else {
            store.history().updateIgnored(news, directory.revision());
        }
    }

    private void regionDigest(RegionView view, NodeHello sender, RegionDigest digest) {
        if (!mesh.isHub()) {
            return;
        }
        long now = nowMillis.getAsLong();
        Peer peer = peers.of(sender);
        epochUpdates.received(peer, StoreEpochSection.of(digest.digest()));
        if (view.isElsewhere(sender)) {
            peer.messageReceived(now);
            snapshots.digest(mesh, peer, digest.digest());
        }
        evidenceReceived |= !digest.digest().evidence().isEmpty();
        regions.received(mesh, view, sender, digest, peers.ownHubs(), now);
    }

    private void digest(Peer peer, NodeDigest digest) {
        boolean wasHub = peer.hasReported() && !peer.isLeaf();
        long now = nowMillis.getAsLong();
        epochUpdates.received(peer, StoreEpochSection.of(digest));
        peer.received(ValidFigures.of(peer.name(), digest), now);
        evidenceReceived |= !digest.evidence().isEmpty();
        LeavingIncarnations.of(digest).forEach(told -> directory.leavingReportedBy(told, peer.name()));
        boolean feeds = mesh.isFedBy(peer.hello());
        if (peer.revisionDecreased() && feeds) {
            directory.historyReplaced();
        }
        if (feeds && peer.isStoreReachable() && snapshots.isAsRecentAs(peer)) {
            directory.confirmedCurrent();
        }
        snapshots.digest(mesh, peer, digest);
        if (!peers.counts(peer)) {
            loads.peerLost(peer.name());
            parts.forget(peer.name());
            peer.stopCounting();
            return;
        }
        boolean leaf = peer.isLeaf();
        digest.usage().forEach(news -> usage.merge(news.life(), news.usage(), leaf));
        loads.setPeerUses(peer.name(), digest.uses());
        limits.received(peer, digest.quotas(), now);
        parts.received(peer.name(), digest, now);
        if (!leaf && !wasHub) {
            sendAllUsage(peer);
        }
    }

    private void historyReplaced() {
        epochUpdates.changed(nowMillis.getAsLong());
        sendDigests();
    }

    /** A hub passes changes on to its leaves, and a follower of the store to the other hubs too. */
    private void forward(UpstreamNews news) {
        if (mesh == null || !mesh.isHub()) {
            return;
        }
        boolean follower = mesh.followsStoreForHubs();
        List<String> fed = new ArrayList<>();
        for (Peer peer : peers.all()) {
            boolean hub = !peer.isLeaf() && !peers.isElsewhere(peer);
            boolean otherHub = hub && !mesh.isStoreFollower(peer.name());
            if (peer.isLeaf() || (follower && otherHub)) {
                fed.add(peer.name());
            }
        }
        mesh.send(fed, news);
    }

    /** Tells the peers, and forgets silent ones. To be called every {@link #DIGEST_INTERVAL_MILLIS}. */
    public void tick() {
        removeUnresponsivePeers();
        mesh.regions()
                .ifPresent(
                        view -> regions.tick(mesh, view, peers.ownHubs(), nowMillis.getAsLong()));
        List<Peer> counted = peers.counted();
        mergeEvidence(counted);
        boolean othersKnown = mesh.isPlanned() || !peers.isEmpty();
        int heard = peers.totalProcesses(counted);
        limits.share(
                othersKnown, !mesh.isHub(), heard, sharingProcesses(counted, heard), nowMillis.getAsLong());
        sendDigests();
        sendRolloutReports();
    }

    /** Tells the peers how far roll-outs have come. */
    void sendRolloutReports() {
        rollouts.ifPresent(exchange -> exchange.send(mesh, peers.all()));
    }

    /** Adds up what peers saw of upstreams, if any has told more or other peers count. */
    private void mergeEvidence(List<Peer> counted) {
        if (evidenceReceived || !counted.equals(evidencePeers)) {
            evidenceReceived = false;
            evidencePeers = counted;
            List<EngineEvidence> told = new ArrayList<>();
            counted.forEach(peer -> told.addAll(peer.evidence()));
            engines.peerEvidence(told);
        }
    }

    private void removeUnresponsivePeers() {
        for (Peer peer : peers.removeUnresponsive()) {
            loads.peerLost(peer.name());
            parts.forget(peer.name());
            rollouts.ifPresent(exchange -> exchange.forget(peer.name()));
            DecisionLog.write(new DecisionLog.Lifecycle("peer " + peer.name(), "silent", ""));
        }
    }

    /** Tells the peers what this process knows now. */
    public void sendDigests() {
        if (mesh != null) {
            sendDigestsTo(peers.all());
        }
    }

    private void sendDigestsTo(Collection<Peer> told) {
        long now = nowMillis.getAsLong();
        writer.beginRound(now);
        SenderState state =
                new SenderState(
                        store.isReachable(),
                        draining,
                        membersRead(),
                        leavingUpdates.next(now),
                        epochUpdates.next(now));
        Map<Long, List<Peer>> byUsageTold = new HashMap<>();
        List<Peer> counted = peers.counted();
        List<Peer> keepers = peers.usageReplicas();
        int heard = peers.totalProcesses(counted);
        for (Peer peer : told) {
            if (peers.isElsewhere(peer)) {
                continue;
            }
            if (mesh.isHub() && peer.isLeaf()) {
                int others = heard - peers.recentProcesses(peer);
                sendToLeaf(peer, keepers.contains(peer), state, counted, others, now);
            } else if (mesh.isHub() || mesh.isOwnHub(peer.hello())) {
                byUsageTold
                        .computeIfAbsent(peer.usageSent(), sequence -> new ArrayList<>())
                        .add(peer);
            }
        }
        byUsageTold.forEach((usageTold, same) -> sendSame(same, digest(state, usageTold, now)));
        mesh.regions().ifPresent(view -> sendToRegions(view, state, told, now));
    }

    private void sendToRegions(RegionView view, SenderState state, Collection<Peer> told, long now) {
        List<Peer> own = peers.countedHere();
        int processes = 1 + own.stream().mapToInt(peers::recentProcesses).sum();
        regions.send(mesh, view, state, told, own, processes, now);
    }

    private void sendToLeaf(
            Peer leaf,
            boolean keepsUsage,
            SenderState state,
            List<Peer> counted,
            int processes,
            long now) {
        if (keepsUsage && leaf.usageSent() == 0) {
            sendAllUsage(leaf);
            leaf.usageSent(usage.sequence());
        }
        // told that the store is out of reach here, it reads the list itself
        boolean isLeftBehind = epochUpdates.holdsLostHistory(leaf, directory.revision(), now);
        SenderState told = isLeftBehind ? state.withoutStore() : state;
        NodeDigest digest = writer.rest(told, leaf, counted, processes, keepsUsage, now);
        if (mesh.send(leaf.name(), digest) && keepsUsage) {
            leaf.usageSent(usage.sequence());
        }
    }

    private NodeDigest digest(SenderState state, long usageTold, long now) {
        return mesh.isHub()
                ? writer.group(state, peers.leaves(), usageTold, now)
                : writer.own(state, usageTold, now);
    }

    /** Peers that were told of the same changes of usage get the same digest, written once. */
    private void sendSame(List<Peer> same, NodeDigest digest) {
        Set<String> linked = mesh.send(Peer.names(same), digest);
        same.stream()
                .filter(peer -> linked.contains(peer.name()))
                .forEach(peer -> peer.usageSent(usage.sequence()));
    }

    /**
     * A hub that was not linked before may lack what other processes told long ago, also to a leaf.
     */
    private void sendAllUsage(Peer peer) {
        for (String life : usage.entries()) {
            mesh.send(peer.name(), new UsageHistory(life, usage.countsOf(life)));
        }
    }

    /** An upstream whose entry is only gone may come back, so peers are not told that it leaves. */
    private void recordLeaving(String upstream) {
        if (!directory.isLeaving(upstream)) {
            return;
        }
        leavingUpdates.began(upstream, nowMillis.getAsLong());
        sendLeavingUpdate();
    }

    /** The way between regions is longer by two processes, so news of leaving does not wait. */
    private void sendLeavingUpdate() {
        if (mesh != null && mesh.regions().isPresent()) {
            sendDigestsSoon();
        }
    }

    /** Has the peers told at once, unless they were told so a moment ago. */
    void sendDigestsSoon() {
        long now = nowMillis.getAsLong();
        if (mesh != null && now - extraDigestMillis >= MIN_EXTRA_DIGEST_INTERVAL_MILLIS) {
            extraDigestMillis = now;
            sendDigests();
        }
    }
}
