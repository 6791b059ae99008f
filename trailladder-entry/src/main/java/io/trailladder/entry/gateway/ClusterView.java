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
import io.trailladder.core.membership.HeldCount;
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
import io.trailladder.wire.NodeMessage.SnapshotRequest;
import io.trailladder.wire.NodeMessage.StreamNews;
import io.trailladder.wire.NodeMessage.StreamQuery;
import io.trailladder.wire.NodeMessage.StreamReply;
import io.trailladder.wire.NodeMessage.UnitsGrant;
import io.trailladder.wire.NodeMessage.UnitsRequest;
import io.trailladder.wire.NodeMessage.UnitsReturn;
import io.trailladder.wire.NodeMessage.UpstreamUpdate;
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
import java.util.function.Predicate;

/**
 * Exchanges digests, updates and snapshots with the peers.
 *
 * <p>A leaf sends its own figures to its hub and receives those of all others. Hubs send each other
 * their own figures with those of their leaves. In a small cluster all processes are hubs.
 *
 * @since 0.2
 */
public final class ClusterView implements MeshListener {
    /** Interval between two digests to the peers, in milliseconds. */
    public static final long DIGEST_INTERVAL_MILLIS = 200;

    /**
     * How long processes that are not listed any more count for limits, in milliseconds. An entry
     * lapses 10 s after its last renewal, though its process may go on.
     */
    private static final long LISTED_HOLD_MILLIS = 8_000;

    /**
     * How long processes whose figures are not received any more count for limits, in milliseconds:
     * longer than partitions usually last.
     */
    private static final long REPORTING_HOLD_MILLIS = 30_000;

    /**
     * How long after the first list all processes are listed, in milliseconds: longer than the
     * interval between two renewals and the next list.
     */
    private static final long LIST_SETTLE_MILLIS = 5_000;

    /**
     * Maximum age of the last digest of a peer that supplies policy and upstreams, in milliseconds.
     */
    private static final long FED_MAX_AGE_MILLIS = 800;

    /**
     * Minimum time between two digests that are sent outside the regular interval, in milliseconds:
     * many upstreams may leave or end at once, and writing a digest costs a hub processor time.
     */
    private static final long MIN_EXTRA_DIGEST_INTERVAL_MILLIS = 50;

    /** Age from which a link was not opened before the processes were known, in milliseconds. */
    private static final long KEPT_LINK_MILLIS = 10_000;

    private final LongSupplier nowMillis;
    private final PolicyManager policies;
    private final DirectoryManager directory;
    private final StoreHealth store;
    private final Quotas quotas;
    private final StartupRequestQueue.Timer timer;
    private final HeldCount listedCount = new HeldCount(LISTED_HOLD_MILLIS);
    private final HeldCount reportingCount = new HeldCount(REPORTING_HOLD_MILLIS);
    private final LimitNeeds needs;
    private int limitSharing = 1;
    private boolean sharingKnown;
    private long sharingKnownMillis;
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
    private Optional<StreamExchange> streams = Optional.empty();
    private Optional<StreamTelling> streamTelling = Optional.empty();
    private BooleanSupplier leads = () -> false;
    private Mesh mesh;
    private LimitExchange limits;
    private boolean draining;
    private long extraDigestMillis = -MIN_EXTRA_DIGEST_INTERVAL_MILLIS;
    private List<Peer> evidencePeers = List.of();
    private boolean evidenceReceived;

    /**
     * Creates a view without peers.
     *
     * @param nowMillis returns the current time, in milliseconds
     * @param policies the policy in force
     * @param directory the list of upstreams
     * @param store whether the store answers
     * @param quotas the organisations' limits
     * @param loads the requests in progress at upstreams
     * @param usage counts requests that started to run
     * @param demand measures the load of services at this process
     * @param engines estimates the speed of upstreams
     * @param metrics the metrics of this process
     * @param timer schedules tasks on the thread of this view
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
            StartupRequestQueue.Timer timer) {
        this.nowMillis = nowMillis;
        this.policies = policies;
        this.directory = directory;
        this.store = store;
        this.quotas = quotas;
        this.timer = timer;
        this.loads = loads;
        this.usage = usage;
        this.engines = engines;
        this.writer = new DigestWriter(policies, directory, loads, usage, demand, engines, parts);
        this.snapshots = new SnapshotExchange(nowMillis, policies, directory, store, metrics);
        this.regions = new RegionExchange(directory, loads, usage, parts, writer);
        this.peers = new LinkedPeers(nowMillis, regions);
        this.needs =
                new LimitNeeds(() -> limits == null ? List.of() : limits.needs(), this::usesLimits);
        parts.add(needs);
        this.leavingUpdates = new LeavingUpdates(directory::leavingIncarnation);
        this.epochUpdates = new EpochUpdates(store.history());
        directory.onLeaving(upstream -> recordLeaving(upstream.id()));
        directory.onUpdate(this::forward);
        // registered first: peers must know the new epoch before they receive data of the new
        // history
        store.history().onReplaced(this::historyReplaced);
    }

    /**
     * Starts sending to the peers: changes at once, everything else with each {@link #tick}.
     *
     * @param links the links to the peers
     * @param leading whether this process is the leader
     */
    public void start(Mesh links, BooleanSupplier leading) {
        mesh = links;
        peers.setMesh(links);
        LimitSuppliers suppliers =
                new LimitSuppliers(nowMillis, links, peers, regions, this::usesLimits);
        needs.suppliers(suppliers);
        limits = new LimitExchange(nowMillis, timer, quotas, suppliers, needs, links);
        leads = leading;
        policies.onChange(policy -> sendDigests());
    }

    /**
     * Sets the exchange of where streams began.
     *
     * @param exchange asks peers
     * @param telling tells peers
     */
    void streams(StreamExchange exchange, StreamTelling telling) {
        streams = Optional.of(exchange);
        streamTelling = Optional.of(telling);
    }

    /** Returns whether a responding peer does not take part in an exchange. */
    boolean isAnyPeerNot(Predicate<String> takesPart) {
        return linkedPeers().stream().anyMatch(takesPart.negate());
    }

    /** Returns whether a peer is linked and responding. */
    boolean isLinked(String name) {
        return peers.all().stream().anyMatch(peer -> peer.name().equals(name));
    }

    /** Returns the names of all responding peers. */
    List<String> linkedPeers() {
        return peers.all().stream().map(Peer::name).toList();
    }

    /** Returns the peers on which a leaf relies, or the other hubs. */
    List<String> peersToAsk() {
        return peers.all().stream()
                .filter(peer -> mesh.isHub() ? !peer.isLeaf() : mesh.isOwnHub(peer.hello()))
                .map(Peer::name)
                .toList();
    }

    /** Returns whether a peer relies on this process as its hub. */
    boolean isLeaf(String peer) {
        return peers.isLeaf(peer);
    }

    /** Returns whether a peer is in another region. */
    boolean isElsewhere(String name) {
        return peers.all().stream()
                .anyMatch(peer -> peer.name().equals(name) && peers.isElsewhere(peer));
    }

    /**
     * Sets the exchange of roll-out reports with the peers.
     *
     * @param exchange sends and receives the reports
     */
    void rollouts(RolloutExchange exchange) {
        rollouts = Optional.of(exchange);
    }

    /**
     * Sets the task that runs when a peer supplied a change of the upstreams that the store, though
     * it answers, has not delivered to this process.
     *
     * @param task the task
     */
    void onMissedChange(Runnable task) {
        snapshots.onMissed(task);
    }

    /**
     * Returns what is sent to peers about the store's epoch.
     *
     * @return the updates
     */
    EpochUpdates epochUpdates() {
        return epochUpdates;
    }

    /**
     * Adds a part that writes and receives a section of each digest.
     *
     * @param part exchanges its section with the same part of the peers
     */
    void add(DigestPart part) {
        parts.add(part);
    }

    /**
     * Returns the peers whose figures count at this process.
     *
     * @return their names
     */
    List<String> countedPeers() {
        return Peer.names(peers.counted());
    }

    /** Notifies the peers that this process is stopping. */
    public void draining() {
        draining = true;
        sendDigests();
    }

    /**
     * Returns the number of processes that share limits: the largest of the counts read in the
     * store and the number of processes whose figures are known.
     *
     * @return a count of at least 1
     */
    public int sharingProcesses() {
        List<Peer> counted = peers.counted();
        return sharingProcesses(counted, peers.totalProcesses(counted));
    }

    /**
     * Returns the number of processes among which limits are divided. Unlike {@link
     * #sharingProcesses()} it falls late, since processes that are not listed any more may still
     * serve.
     *
     * @return a count of at least 1
     */
    public int limitSharing() {
        return limitSharing;
    }

    /**
     * Returns the number of processes among which limits are divided, once it has been read.
     *
     * @return {@link #limitSharing()}; 0 until this process or a peer has read the number in the
     *     store
     */
    public int listedSharing() {
        return sharingKnown ? limitSharing : 0;
    }

    /**
     * Returns the number of processes among which limits are divided, once all that run are listed.
     *
     * @return {@link #listedSharing()}; 0 also for some time after the first list, because entries
     *     that lapsed while the store was unavailable are written again at the next renewal
     */
    public int settledSharing() {
        boolean settled = nowMillis.getAsLong() - sharingKnownMillis >= LIST_SETTLE_MILLIS;
        return settled ? listedSharing() : 0;
    }

    private void updateLimitSharing(List<Peer> counted, int reporting) {
        long now = nowMillis.getAsLong();
        boolean knownBefore = sharingKnown;
        sharingKnown =
                membersRead() > 0 || counted.stream().anyMatch(peer -> peer.members().isKnown());
        if (sharingKnown && !knownBefore) {
            sharingKnownMillis = now;
        }
        int listed = listedCount.record(sharingProcesses(counted, 1), now);
        limitSharing = Math.max(listed, reportingCount.record(reporting, now));
    }

    /**
     * Returns whether this process uses its part of limits.
     *
     * @return false until the others are known, and count this process
     */
    public boolean usesLimits() {
        return limits != null && limits.isAccruing();
    }

    /**
     * Returns whether this process will soon use its part of limits.
     *
     * @return true while the others are known, but may not count this process yet
     */
    public boolean awaitsLimits() {
        return limits != null && limits.isAwaited();
    }

    private int sharingProcesses(List<Peer> counted, int reporting) {
        Reading own = new Reading(membersRead(), store.isReachable());
        List<Reading> read = new ArrayList<>(counted.size());
        for (Peer peer : counted) {
            read.add(peer.members());
        }
        return MemberCount.of(own, read, reporting);
    }

    /**
     * Returns the number of processes that this one has read in the store; 0 if it has read none.
     */
    private int membersRead() {
        return mesh.isPlanned() ? mesh.size() : 0;
    }

    /**
     * Returns the number of peers that are linked and responding.
     *
     * @return a count
     */
    public int respondingPeers() {
        return peers.size();
    }

    /**
     * Returns the exchange with other regions.
     *
     * @return the exchange
     */
    RegionExchange regions() {
        return regions;
    }

    /**
     * Returns the number of processes whose recent figures are known, this one included.
     *
     * @return a count of at least 1
     */
    public int totalProcesses() {
        return peers.totalProcesses(peers.counted());
    }

    /**
     * Returns the age of the oldest digest that counts.
     *
     * @return the age in milliseconds; 0 without peers
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
     * Returns the load of a service over all processes whose figures count.
     *
     * @param service the service
     * @param upstreams its upstreams, including those that are leaving
     * @return the current load
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

    /** Returns whether a peer forwards changes of the list of upstreams to this process. */
    boolean isFedBy(String name) {
        return peers.all().stream()
                .anyMatch(
                        peer -> peer.name().equals(name) && mesh.receivesUpdatesFrom(peer.hello()));
    }

    /**
     * Returns whether a peer supplies this process with policy and upstreams in time, so that it
     * need not follow the store itself.
     *
     * @param fedBefore the previous result; a peer that starts to supply must first be no newer
     *     than this process
     * @return false for processes that follow the store, and while the peers that supply this one
     *     do not respond or cannot reach the store
     */
    public boolean isFed(boolean fedBefore) {
        long oldest = nowMillis.getAsLong() - FED_MAX_AGE_MILLIS;
        return peers.counted().stream()
                .filter(peer -> !peer.isLeaf() && mesh.receivesUpdatesFrom(peer.hello()))
                .filter(peer -> peer.isStoreReachable() && peer.digestMillis() >= oldest)
                .filter(peer -> store.history().mayMatch(peer.storeEpoch()))
                .anyMatch(peer -> fedBefore || snapshots.isAsRecentAs(peer));
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
            usage.merge(history.incarnation(), history.usage(), peers.isLeaf(hello.name()));
        } else if (message instanceof SnapshotRequest request) {
            snapshots.requestReceived(mesh, peers.of(hello), request);
        } else if (message instanceof UpstreamUpdate update && mesh.receivesUpdatesFrom(hello)) {
            upstreamUpdate(peers.of(hello), update);
        } else if (message instanceof Snapshot snapshot) {
            snapshots.snapshotReceived(mesh, peers.of(hello), snapshot);
        } else if (message instanceof RolloutReport report) {
            rolloutReport(peers.of(hello), report);
        } else if (message instanceof UnitsRequest
                || message instanceof UnitsGrant
                || message instanceof UnitsReturn) {
            limits.received(hello, message);
        } else if (message instanceof StreamQuery || message instanceof StreamReply) {
            streams.ifPresent(exchange -> exchange.received(hello.name(), message));
        } else if (message instanceof StreamNews news) {
            streamTelling.ifPresent(telling -> telling.received(hello.name(), news));
        }
    }

    private void rolloutReport(Peer from, RolloutReport report) {
        StoreHistory history = store.history();
        boolean sameHistory = from.storeEpoch() == history.epoch();
        if (history.mayMatch(from.storeEpoch())) {
            rollouts.ifPresent(exchange -> exchange.receive(from.hello(), report, sameHistory));
        }
    }

    private void upstreamUpdate(Peer from, UpstreamUpdate update) {
        if (store.history().mayMatch(from.storeEpoch())) {
            directory.applyFromPeer(update);
        } else {
            store.history().updateIgnored(update, directory.revision());
        }
    }

    private void regionDigest(RegionView view, NodeHello sender, RegionDigest digest) {
        if (!mesh.isHub()) {
            return;
        }
        long now = nowMillis.getAsLong();
        Peer peer = peers.of(sender);
        epochUpdates.received(peer, StoreEpochSection.of(digest.digest()));
        if (view.isOtherRegion(sender)) {
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
        LeavingIncarnations.of(digest)
                .forEach(upstream -> directory.leavingReportedBy(upstream, peer.name()));
        boolean feeds = mesh.receivesUpdatesFrom(peer.hello());
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
            return;
        }
        boolean leaf = peer.isLeaf();
        digest.usage()
                .forEach(history -> usage.merge(history.incarnation(), history.usage(), leaf));
        loads.setPeerUses(peer.name(), digest.uses());
        parts.received(peer.name(), digest, now);
        if (!leaf && !wasHub) {
            sendAllUsage(peer);
        }
    }

    private void historyReplaced() {
        epochUpdates.changed(nowMillis.getAsLong());
        sendDigests();
    }

    /**
     * Forwards a change to the leaves of this hub; a follower of the store forwards it to the other
     * hubs too.
     */
    private void forward(UpstreamUpdate update) {
        if (mesh == null || !mesh.isHub()) {
            return;
        }
        boolean follower = mesh.followsStoreForHubs();
        List<String> receivers = new ArrayList<>();
        for (Peer peer : peers.all()) {
            boolean hub = !peer.isLeaf() && !peers.isElsewhere(peer);
            boolean otherHub = hub && !mesh.isStoreFollower(peer.name());
            if (peer.isLeaf() || (follower && otherHub)) {
                receivers.add(peer.name());
            }
        }
        mesh.send(receivers, update);
    }

    /**
     * Sends digests and removes peers that do not respond. To be called every {@link
     * #DIGEST_INTERVAL_MILLIS}.
     */
    public void tick() {
        removeUnresponsivePeers();
        mesh.regions()
                .ifPresent(
                        view -> regions.tick(mesh, view, peers.ownHubs(), nowMillis.getAsLong()));
        List<Peer> counted = peers.counted();
        mergeEvidence(counted);
        boolean othersKnown = mesh.isPlanned() || !peers.isEmpty();
        int total = peers.totalProcesses(counted);
        int inRegion = peers.totalProcesses(peers.countedHere());
        int group = 1 + peers.leaves().size();
        updateLimitSharing(counted, total);
        limits.tick(new LimitShares.Processes(othersKnown, total, inRegion, group, limitSharing));
        quotas.log()
                .flush(
                        total,
                        limitSharing,
                        oldestDigestMillis(),
                        organisation -> quotas.evenPart(organisation, limitSharing),
                        nowMillis.getAsLong());
        sendDigests();
        sendRolloutReports();
    }

    /** Sends the progress of roll-outs to the peers. */
    void sendRolloutReports() {
        rollouts.ifPresent(exchange -> exchange.send(mesh, peers.all()));
    }

    /**
     * Merges the observations of upstreams that peers reported, if new ones came or other peers
     * count.
     */
    private void mergeEvidence(List<Peer> counted) {
        if (evidenceReceived || !counted.equals(evidencePeers)) {
            evidenceReceived = false;
            evidencePeers = counted;
            List<EngineEvidence> reported = new ArrayList<>();
            counted.forEach(peer -> reported.addAll(peer.evidence()));
            engines.peerEvidence(reported);
        }
    }

    private void removeUnresponsivePeers() {
        for (Peer peer : peers.removeUnresponsive()) {
            loads.peerLost(peer.name());
            parts.forget(peer.name());
            boolean wasKept =
                    mesh.keepsLinkTo(peer.hello()) || peer.linkedForMillis() >= KEPT_LINK_MILLIS;
            if (!peer.isDraining() && wasKept) {
                parts.silent(peer.name(), peer.digestMillis());
            }
            rollouts.ifPresent(exchange -> exchange.forget(peer.name()));
            DecisionLog.write(new DecisionLog.Lifecycle("peer " + peer.name(), "silent", ""));
        }
    }

    /** Sends the current state of this process to all peers. */
    public void sendDigests() {
        if (mesh != null) {
            sendDigestsTo(peers.all());
        }
    }

    private void sendDigestsTo(Collection<Peer> receivers) {
        long now = nowMillis.getAsLong();
        writer.beginRound(now);
        SenderState state =
                new SenderState(
                        store.isReachable(),
                        draining,
                        membersRead(),
                        leavingUpdates.next(now),
                        epochUpdates.next(now));
        Map<Long, List<Peer>> byUsageSent = new HashMap<>();
        List<Peer> counted = peers.counted();
        List<Peer> replicas = peers.usageReplicas();
        int total = peers.totalProcesses(counted);
        for (Peer peer : receivers) {
            if (peers.isElsewhere(peer)) {
                continue;
            }
            if (mesh.isHub() && peer.isLeaf()) {
                int others = total - peers.recentProcesses(peer);
                sendToLeaf(peer, replicas.contains(peer), state, counted, others, now);
            } else if (mesh.isHub() || mesh.isOwnHub(peer.hello())) {
                byUsageSent
                        .computeIfAbsent(peer.usageSent(), sequence -> new ArrayList<>())
                        .add(peer);
            }
        }
        byUsageSent.forEach((usageSent, same) -> sendSame(same, digest(state, usageSent, now)));
        mesh.regions().ifPresent(view -> sendToRegions(view, state, receivers, now));
    }

    private void sendToRegions(
            RegionView view, SenderState state, Collection<Peer> receivers, long now) {
        List<Peer> own = peers.countedHere();
        int processes = 1 + own.stream().mapToInt(peers::recentProcesses).sum();
        regions.send(mesh, view, state, receivers, own, processes, now);
    }

    private void sendToLeaf(
            Peer leaf,
            boolean replicatesUsage,
            SenderState state,
            List<Peer> counted,
            int processes,
            long now) {
        if (replicatesUsage && leaf.usageSent() == 0) {
            sendAllUsage(leaf);
            leaf.usageSent(usage.sequence());
        }
        // a leaf whose hub reports the store as unreachable reads the list itself
        boolean outdated = epochUpdates.holdsLostHistory(leaf, directory.revision(), now);
        SenderState sent = outdated ? state.withoutStore() : state;
        NodeDigest digest = writer.rest(sent, leaf, counted, processes, replicatesUsage, now);
        if (mesh.send(leaf.name(), digest) && replicatesUsage) {
            leaf.usageSent(usage.sequence());
        }
    }

    private NodeDigest digest(SenderState state, long usageSent, long now) {
        return mesh.isHub()
                ? writer.group(state, peers.leaves(), usageSent, now)
                : writer.own(state, usageSent, now);
    }

    /** Sends one digest, written once, to peers that were sent the same changes of usage. */
    private void sendSame(List<Peer> same, NodeDigest digest) {
        Set<String> linked = mesh.send(Peer.names(same), digest);
        same.stream()
                .filter(peer -> linked.contains(peer.name()))
                .forEach(peer -> peer.usageSent(usage.sequence()));
    }

    /**
     * Sends all usage to a peer: a newly linked hub may lack what other processes sent long ago,
     * even if they sent it to a leaf.
     */
    private void sendAllUsage(Peer peer) {
        for (String incarnation : usage.entries()) {
            mesh.send(peer.name(), new UsageHistory(incarnation, usage.countsOf(incarnation)));
        }
    }

    /**
     * Records an upstream as leaving. One whose entry has only been removed may come back, so it is
     * not reported as leaving.
     */
    private void recordLeaving(String upstream) {
        if (!directory.isLeaving(upstream)) {
            return;
        }
        leavingUpdates.began(upstream, nowMillis.getAsLong());
        sendLeavingUpdate();
    }

    /**
     * Sends digests at once where there are several regions: the path between regions is two
     * processes longer.
     */
    private void sendLeavingUpdate() {
        if (mesh != null && mesh.regions().isPresent()) {
            sendDigestsSoon();
        }
    }

    /**
     * Sends digests at once, unless digests were sent by this method less than {@link
     * #MIN_EXTRA_DIGEST_INTERVAL_MILLIS} ago.
     */
    void sendDigestsSoon() {
        long now = nowMillis.getAsLong();
        if (mesh != null && now - extraDigestMillis >= MIN_EXTRA_DIGEST_INTERVAL_MILLIS) {
            extraDigestMillis = now;
            sendDigests();
        }
    }
}
