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

import io.trailladder.core.claim.RangeMap;
import io.trailladder.entry.caller.CallerHandler;
import io.trailladder.entry.http.HttpServer;
import io.trailladder.entry.http.ServerBounds;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.operator.OperatorServer;
import io.trailladder.entry.operator.StatusReport;
import io.trailladder.entry.peer.PeerHandler;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.entry.serve.ClaimService;
import io.trailladder.entry.serve.DataCentreChooser;
import io.trailladder.entry.serve.HttpEngineApi;
import io.trailladder.entry.serve.PeerRelay;
import io.trailladder.entry.serve.PeerServer;
import io.trailladder.entry.serve.Placements;
import io.trailladder.entry.serve.RequestDispatcher;
import io.trailladder.entry.serve.RequestFinder;
import io.trailladder.entry.serve.RequestRegistry;
import io.trailladder.entry.serve.RowPolicies;
import io.trailladder.entry.serve.ServingContext;
import io.trailladder.entry.sync.ClaimSync;
import io.trailladder.entry.sync.EntrySync;
import io.trailladder.entry.sync.FleetSync;
import io.trailladder.entry.sync.Members;
import io.trailladder.entry.sync.TableSync;
import io.trailladder.platform.CloudApi;
import io.trailladder.platform.HttpKeyValueStore;
import io.trailladder.platform.RangeStore;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.Heartbeat;
import io.trailladder.wire.PeerMessage.RangeMapUpdate;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/**
 * The entry daemon. Creates the components of one entry, starts and stops them.
 *
 * <pre>{@code
 * EntryDaemon entry = new EntryDaemon(settings);
 * entry.start();
 * entry.stop(); // finishes requests in flight, hands over those that remain
 * }</pre>
 *
 * @since 0.1
 */
public final class EntryDaemon {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;
    private static final int MAX_CLAIMS = 300_000;
    private static final long HEAD_TIMEOUT_MILLIS = 10_000;
    private static final long LAST_ANSWERS_DELAY_MILLIS = 200;
    private static final int TIMER_THREADS = 2;
    private static final long DRAIN_POLL_MILLIS = 50;
    private static final long HAND_OVER_DELAY_MILLIS = 300;
    private static final long RANGE_HAND_OVER_TIMEOUT_MILLIS = 5_000;
    private static final long NOTICE_MARGIN_MILLIS = 700;

    private final EntrySettings settings;
    private final EntryInfo self;
    private final ScheduledExecutorService timer;
    private final HttpClient client;
    private final EntryMetrics metrics = new EntryMetrics();
    private final RowPolicies policies = new RowPolicies();
    private final PeerLinks links;
    private final Placements placements;
    private final ServingContext context;
    private final Members members;
    private final RequestRegistry book;
    private final ClaimService claims;
    private final DataCentreChooser chooser;
    private final PeerRelay relay;
    private final RequestDispatcher dispatcher;
    private final TableSync tableSync;
    private final FleetSync fleetSync;
    private final EntrySync entrySync;
    private final ClaimSync claimSync;
    private final PeerRouter router;
    private final HeartbeatSender heartbeats;
    private final OperatorServer operators;
    private final EventLoop callerLoop = new EventLoop();
    private final HttpServer callers;
    private volatile boolean stopping;

    /**
     * Creates an entry. Nothing is started before {@link #start()}.
     *
     * @param settings the settings of the entry
     */
    public EntryDaemon(EntrySettings settings) {
        this.settings = settings;
        this.self = selfInfo(settings);
        this.timer = PeriodicTasks.newTimer(TIMER_THREADS);
        this.client = new HttpClient(timer);
        this.links = new PeerLinks(self, settings.peerKey(), new DelegatingPeerHandler());
        this.placements =
                new Placements(
                        settings.dataCentre(), ThreadLocalRandom.current().nextLong(), timer);
        HttpEngineApi engines = new HttpEngineApi(client, settings.limits().upstreamIdleMillis());
        this.context =
                new ServingContext(
                        self,
                        settings,
                        placements,
                        engines,
                        client,
                        links,
                        timer,
                        metrics,
                        policies);
        this.members = new Members(self, links, settings.peers());
        this.chooser = new DataCentreChooser(links, placements);
        this.book = new RequestRegistry(context, chooser::isStopping);
        this.claims =
                new ClaimService(
                        self.id(),
                        links,
                        RangeMap.DEFAULT_RANGES,
                        MAX_CLAIMS,
                        settings.claimRetentionMillis());
        this.relay = new PeerRelay(links);
        RequestFinder finder = new RequestFinder(links, timer);
        this.dispatcher = new RequestDispatcher(context, book, claims, relay, chooser, finder);
        HttpKeyValueStore store = new HttpKeyValueStore(client, settings.keyValue());
        this.callers = callerServer();
        this.tableSync = new TableSync(store, policies, links, members, chooser, timer);
        this.entrySync = new EntrySync(self, store, links, members, timer);
        this.fleetSync =
                new FleetSync(
                        new CloudApi(client, settings.cloud()),
                        placements,
                        engines,
                        policies,
                        links,
                        members,
                        self,
                        this::leaving,
                        timer);
        RangeStore ranges = new RangeStore(store, RangeMap.DEFAULT_RANGES);
        this.claimSync = new ClaimSync(claims, ranges, links, members, chooser, timer);
        this.router =
                new PeerRouter(
                        new PeerRouter.Parts(
                                members,
                                chooser,
                                tableSync,
                                fleetSync,
                                book,
                                finder,
                                relay,
                                new PeerServer(links, dispatcher, book),
                                claims,
                                new InitialStateSender()));
        this.heartbeats =
                new HeartbeatSender(
                        self,
                        links,
                        placements,
                        policies,
                        claims,
                        chooser,
                        members,
                        dispatcher::draining,
                        router::lost);
        this.operators =
                new OperatorServer(
                        settings.operatorAddress(),
                        metrics,
                        this::status,
                        placements,
                        this::isReady);
        policies.onChange(table -> tableChanged());
    }

    /**
     * Starts all servers, peer links and periodic tasks.
     *
     * @throws IOException if a port is in use
     */
    public void start() throws IOException {
        links.start(settings.peerAddress(), timer);
        operators.start();
        startCallers();
        tableSync.start();
        entrySync.start();
        fleetSync.start();
        claimSync.start();
        PeriodicTasks.repeat(timer, "heartbeat", this::sendHeartbeats, HEARTBEAT_INTERVAL_MILLIS);
        Logger.info("entry {} in {} started", self.id(), self.dataCentre());
    }

    /**
     * Stops the entry: refuses new requests, waits up to the drain time for those in flight, and
     * hands those that remain over to other entries.
     */
    public void stop() {
        stop(settings.drainMillis());
    }

    /** Ends at once without finishing or handing over any request, as in a crash. */
    public void kill() {
        timer.shutdownNow();
        closeCallers();
        operators.close();
        links.close();
        client.close();
    }

    /**
     * Returns the name, data centre and addresses of this entry, as sent to peers.
     *
     * @return the description of this entry
     */
    public EntryInfo self() {
        return self;
    }

    /**
     * Returns the links to peers. Failure tests cut them.
     *
     * @return the links
     */
    public PeerLinks links() {
        return links;
    }

    /**
     * Returns the status that operators read under {@code /status}.
     *
     * @return the status
     */
    public StatusReport status() {
        long lastAnswerMillis = tableSync.platformMillis();
        List<StatusReport.Peer> peers =
                links.live().stream()
                        .map(
                                peer ->
                                        new StatusReport.Peer(
                                                peer.id(),
                                                peer.dataCentre(),
                                                chooser.heartbeat(peer.id())
                                                        .map(Heartbeat::tableRevision)
                                                        .orElse(0L)))
                        .toList();
        List<StatusReport.UpstreamLine> upstreams =
                placements.states().stream()
                        .map(
                                state ->
                                        new StatusReport.UpstreamLine(
                                                state.upstream().id(),
                                                state.upstream().target(),
                                                state.leaving()))
                        .toList();
        return new StatusReport(
                self.id(),
                self.dataCentre(),
                policies.table().revision(),
                dispatcher.draining(),
                book.openCount(),
                relay.openCount(),
                book.copies(),
                claims.size(),
                claims.ownedRanges(),
                lastAnswerMillis == 0 ? -1 : System.currentTimeMillis() - lastAnswerMillis,
                peers,
                upstreams);
    }

    private synchronized void stop(long drainMillis) {
        if (stopping) {
            return;
        }
        stopping = true;
        Logger.info("entry {} stops within {} ms", self.id(), drainMillis);
        dispatcher.drain();
        sendHeartbeats();
        claimSync.drain();
        long started = MonotonicClock.millis();
        long deadline = started + drainMillis;
        while (busy(started) && MonotonicClock.millis() < deadline) {
            pause(DRAIN_POLL_MILLIS);
        }
        int unfinished = book.openCount();
        book.handOverAll();
        if (unfinished > 0) {
            Logger.info("entry {} hands over {} requests", self.id(), unfinished);
            pause(HAND_OVER_DELAY_MILLIS);
        }
        book.endUnfinished();
        shutDown();
    }

    private boolean busy(long sinceMillis) {
        boolean handsRangesOver =
                claims.ownedRanges() > 0
                        && MonotonicClock.millis() - sinceMillis < RANGE_HAND_OVER_TIMEOUT_MILLIS
                        && links.live().stream().anyMatch(peer -> serves(peer));
        return book.openCount() > 0 || relay.openCount() > 0 || handsRangesOver;
    }

    private boolean serves(EntryInfo peer) {
        return chooser.heartbeat(peer.id()).isPresent() && !chooser.isStopping(peer.id());
    }

    private void shutDown() {
        tableSync.stop();
        fleetSync.stop();
        entrySync.stop();
        pause(DRAIN_POLL_MILLIS);
        endCallers();
        operators.close();
        links.close();
        client.close();
        timer.shutdownNow();
    }

    private void leaving(String instance, long remainingMillis) {
        if (instance.equals(settings.instance())) {
            long drain = Math.max(0, remainingMillis - NOTICE_MARGIN_MILLIS);
            Thread stopper = new Thread(() -> stop(drain), "reclaim");
            stopper.start();
        } else {
            book.upstreamLeaving(instance, remainingMillis);
        }
    }

    private HttpServer callerServer() {
        EntrySettings.CallerLimits limits = settings.limits();
        ServerBounds bounds =
                new ServerBounds(
                        limits.maxBodyBytes(),
                        Math.min(HEAD_TIMEOUT_MILLIS, limits.callerIdleMillis()),
                        limits.callerIdleMillis());
        return new HttpServer(
                callerLoop,
                limits.maxHeaderBytes(),
                bounds,
                new CallerHandler(callerLoop, context, dispatcher, chooser));
    }

    private void startCallers() throws IOException {
        callers.start(settings.callerAddress());
        callerLoop.start();
    }

    /** Stops listening, and closes connections after the time for sending the last answers. */
    private void endCallers() {
        callerLoop.execute(
                () -> {
                    callers.closing();
                    callers.stopListening();
                    callers.closeIdle();
                });
        pause(LAST_ANSWERS_DELAY_MILLIS);
        closeCallers();
    }

    private void closeCallers() {
        try {
            callerLoop.close();
        } catch (IOException e) {
            Logger.warn("closing the caller connections failed: {}", e.getMessage());
        }
    }

    private void sendHeartbeats() {
        heartbeats.sendHeartbeats();
        metrics.openRequests(book.openCount());
    }

    private void tableChanged() {
        metrics.tableRevision(policies.table().revision());
        links.sendAll(heartbeats.heartbeat(List.of()));
        Logger.info("table revision {} is in force", policies.table().revision());
    }

    private boolean isReady() {
        return !dispatcher.draining() && policies.table().revision() > 0;
    }

    /** Sends the state that a newly linked or outdated peer lacks. */
    private final class InitialStateSender implements PeerRouter.PeerSender {
        @Override
        public void sendInitialState(String peer) {
            links.send(peer, new PeerMessage.Members(members.known()));
            links.send(peer, heartbeats.heartbeat(List.of()));
        }

        @Override
        public void sendRangeMap(String peer) {
            links.send(peer, new RangeMapUpdate(claims.map()));
        }
    }

    /**
     * Forwards link events to the router. The links are created before the router, which in turn
     * depends on them.
     */
    private final class DelegatingPeerHandler implements PeerHandler {
        @Override
        public void linked(EntryInfo peer) {
            router.linked(peer);
        }

        @Override
        public void unlinked(EntryInfo peer) {
            router.unlinked(peer);
        }

        @Override
        public void received(EntryInfo from, PeerMessage message) {
            router.received(from, message);
        }
    }

    private static EntryInfo selfInfo(EntrySettings settings) {
        String suffix = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextInt());
        return new EntryInfo(
                settings.dataCentre() + "-" + suffix,
                settings.dataCentre(),
                settings.peerAddress().toString(),
                settings.callerAddress().toString(),
                settings.operatorAddress().toString());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
