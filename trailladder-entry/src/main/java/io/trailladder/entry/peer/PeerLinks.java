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
package io.trailladder.entry.peer;

import io.trailladder.entry.PeriodicTasks;
import io.trailladder.platform.http.HostPort;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.tinylog.Logger;

/**
 * Maintains links to all known entries and sends messages over them.
 *
 * <p>Both ends prove that they have the shared key before any other message is accepted. A peer
 * from which nothing was received for {@link #LIVE_TIMEOUT_MILLIS} no longer counts as live; this
 * is only a hint, since it may still be running.
 *
 * @since 0.1
 */
public final class PeerLinks implements Peers, AutoCloseable {
    /** How long a peer counts as live after its last message, in milliseconds. */
    public static final long LIVE_TIMEOUT_MILLIS = 3_000;

    private static final long DIAL_INTERVAL_MILLIS = 500;
    private static final long HANDSHAKE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_PENDING_BYTES = 32 * 1024 * 1024;

    private final EntryInfo self;
    private final PeerAuth auth;
    private final PeerHandler handler;
    private final TCPNIOTransport transport;
    private final Set<PeerLink> handshaking = ConcurrentHashMap.newKeySet();
    private final Map<String, List<PeerLink>> links = new ConcurrentHashMap<>();
    private final Map<String, Long> lastReceivedNanos = new ConcurrentHashMap<>();
    private final Map<String, String> addresses = new ConcurrentHashMap<>();
    private final Set<String> dialling = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    /**
     * Creates the links.
     *
     * @param self the description of this entry, sent to peers
     * @param sharedKey the key that all entries of an installation have
     * @param handler receives link events and messages
     */
    public PeerLinks(EntryInfo self, byte[] sharedKey, PeerHandler handler) {
        this.self = self;
        this.auth = new PeerAuth(sharedKey);
        this.handler = handler;
        transport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .build();
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(MAX_PENDING_BYTES);
        transport.setProcessor(
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new PeerFrameFilter(new FrameListener()))
                        .build());
    }

    /**
     * Starts listening for peers and dialling known addresses.
     *
     * @param address the address to listen on
     * @param timer runs the dialling task
     * @throws IOException if the port is in use
     */
    public void start(HostPort address, ScheduledExecutorService timer) throws IOException {
        transport.bind(new InetSocketAddress(address.host(), address.port()));
        transport.start();
        PeriodicTasks.repeat(timer, "dial", this::dialMissing, DIAL_INTERVAL_MILLIS);
    }

    /**
     * Adds an address, which is dialled whenever no link to it is up.
     *
     * @param address host and port
     */
    public void addAddress(String address) {
        if (!address.equals(self.peerAddress())) {
            addresses.putIfAbsent(address, "");
        }
    }

    /**
     * Removes all addresses that are neither linked nor in the given collection.
     *
     * @param keep the addresses to retain
     */
    public void retainAddresses(Collection<String> keep) {
        Set<String> linked = ConcurrentHashMap.newKeySet();
        links.values().forEach(all -> all.forEach(link -> linked.add(link.peer().peerAddress())));
        addresses
                .keySet()
                .removeIf(address -> !keep.contains(address) && !linked.contains(address));
    }

    @Override
    public boolean send(String peer, PeerMessage message) {
        PeerLink link = preferred(peer);
        if (link == null || cut) {
            return false;
        }
        link.send(message);
        return true;
    }

    /**
     * Sends a message to every linked peer.
     *
     * @param message the message
     */
    public void sendAll(PeerMessage message) {
        links.keySet().forEach(peer -> send(peer, message));
    }

    @Override
    public List<EntryInfo> live() {
        long oldest = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(LIVE_TIMEOUT_MILLIS);
        return links.values().stream()
                .flatMap(all -> all.stream().limit(1))
                .map(PeerLink::peer)
                .filter(peer -> lastReceivedNanos.getOrDefault(peer.id(), oldest - 1) - oldest > 0)
                .toList();
    }

    /**
     * Simulates a network partition between this entry and all peers. For failure tests.
     *
     * @param off true to drop all messages sent and received, false to end the partition
     */
    public void cut(boolean off) {
        cut = off;
    }

    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            Logger.warn(e, "peer transport did not close cleanly");
        }
    }

    private PeerLink preferred(String peer) {
        List<PeerLink> all = links.get(peer);
        if (all == null) {
            return null;
        }
        PeerLink best = null;
        for (PeerLink link : all) {
            if (best == null || link.dialler().compareTo(best.dialler()) < 0) {
                best = link;
            }
        }
        return best;
    }

    private void dialMissing() {
        long now = System.nanoTime();
        for (PeerLink link : handshaking) {
            if (now - link.openedNanos() > HANDSHAKE_TIMEOUT_NANOS) {
                link.close();
            }
        }
        for (Map.Entry<String, String> known : addresses.entrySet()) {
            boolean linked = links.containsKey(known.getValue());
            if (!linked && dialling.add(known.getKey())) {
                dial(known.getKey());
            }
        }
    }

    private void dial(String address) {
        HostPort target = HostPort.parse(address);
        transport.connect(
                new InetSocketAddress(target.host(), target.port()),
                new EmptyCompletionHandler<>() {
                    @Override
                    @SuppressWarnings("rawtypes") // the signature is Grizzly's
                    public void completed(Connection connection) {
                        dialling.remove(address);
                        PeerLink link = newLink(connection, true);
                        PeerFrameFilter.attach(connection, link);
                        link.open();
                    }

                    @Override
                    public void failed(Throwable cause) {
                        dialling.remove(address);
                    }

                    @Override
                    public void cancelled() {
                        dialling.remove(address);
                    }
                });
    }

    private PeerLink newLink(Connection<?> connection, boolean dialled) {
        PeerLink link = new PeerLink(connection, dialled, self, auth);
        handshaking.add(link);
        return link;
    }

    private void up(PeerLink link) {
        EntryInfo peer = link.peer();
        handshaking.remove(link);
        lastReceivedNanos.put(peer.id(), System.nanoTime());
        addresses.put(peer.peerAddress(), peer.id());
        List<PeerLink> all = links.computeIfAbsent(peer.id(), id -> new CopyOnWriteArrayList<>());
        all.add(link);
        if (all.size() == 1) {
            handler.linked(peer);
        }
    }

    private void down(PeerLink link) {
        handshaking.remove(link);
        if (!link.isUp()) {
            return;
        }
        EntryInfo peer = link.peer();
        List<PeerLink> all = links.get(peer.id());
        if (all != null && all.remove(link) && all.isEmpty()) {
            links.remove(peer.id());
            handler.unlinked(peer);
        }
    }

    /** Handles the events of the frame filter. */
    private final class FrameListener implements PeerFrameFilter.Listener {
        @Override
        public PeerLink accepted(Connection<?> connection) {
            return newLink(connection, false);
        }

        @Override
        public void message(PeerLink link, PeerMessage message) {
            if (!link.isUp()) {
                if (link.handshake(message)) {
                    up(link);
                }
                return;
            }
            if (cut) {
                return;
            }
            lastReceivedNanos.put(link.peer().id(), System.nanoTime());
            handler.received(link.peer(), message);
        }

        @Override
        public void closed(PeerLink link) {
            down(link);
        }

        @Override
        public void refused(PeerLink link, WireException reason) {
            Logger.warn("peer link closed: {}", reason.getMessage());
        }
    }
}
