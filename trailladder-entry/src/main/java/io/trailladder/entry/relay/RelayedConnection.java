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
package io.trailladder.entry.relay;

import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.http.SocketFilter;
import io.trailladder.entry.loop.LoopTimer;
import io.trailladder.entry.mesh.RelayTarget;
import io.trailladder.entry.relay.RelayObserver.RelayEnding;
import io.trailladder.entry.relay.RelayObserver.Usage;
import io.trailladder.platform.http.HostPort;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.RelayData;
import io.trailladder.wire.NodeMessage.RelayEnd;
import io.trailladder.wire.NodeMessage.RelayOpened;
import io.trailladder.wire.NodeMessage.RelayRefused;
import io.trailladder.wire.NodeMessage.RelayRequest;
import io.trailladder.wire.PeerCodec;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/** A peer's connection and the one to the upstream, between which bytes are passed on. */
final class RelayedConnection implements RelayTarget {
    /** Time that the answer of a failed connection takes to the peer, in milliseconds. */
    private static final long ANSWER_MILLIS = 20;

    private static final long MIN_CONNECT_MILLIS = 20;
    private static final long MAX_CONNECT_MILLIS = 1_000;

    /** Time for the last bytes after the request is over, in milliseconds. */
    private static final long LIFETIME_MARGIN_MILLIS = 1_000;

    private static final long MAX_LIFETIME_MILLIS = 600_000;

    private final RelayServer server;
    private final Connection<?> peer;
    private final RelayRequest request;
    private final long startedMillis;
    private Connection<?> upstream;
    private RelayPump toUpstream;
    private RelayPump toPeer;
    private Runnable cancelConnect = () -> {};
    private LoopTimer timeout;
    private boolean over;

    RelayedConnection(RelayServer server, Connection<?> peer, RelayRequest request) {
        this.server = server;
        this.peer = peer;
        this.request = request;
        this.startedMillis = server.loop().nowMillis();
        this.toPeer = new RelayPump(server.loop(), peer, peer, server::waiting);
    }

    void connect(Upstream target) {
        HostPort address = HostPort.parse(target.address());
        FilterChain chain =
                FilterChainBuilder.stateless()
                        .add(new SocketFilter())
                        .add(new UpstreamFilter())
                        .build();
        long millis = request.timeoutMillis() - ANSWER_MILLIS;
        timeout =
                server.loop()
                        .schedule(
                                Math.max(MIN_CONNECT_MILLIS, Math.min(MAX_CONNECT_MILLIS, millis)),
                                this::notConnected);
        cancelConnect =
                server.loop()
                        .connect(
                                new InetSocketAddress(address.host(), address.port()),
                                chain,
                                this::connected,
                                cause -> server.loop().execute(this::notConnected));
    }

    private void connected(Connection<?> opened) {
        server.paths().opened(request.upstream(), server.loop().nowMillis());
        if (over) {
            opened.terminateSilently();
            return;
        }
        timeout.cancel();
        long lifetime = Math.max(0, Math.min(MAX_LIFETIME_MILLIS, request.lifetimeMillis()));
        timeout = server.loop().schedule(lifetime + LIFETIME_MARGIN_MILLIS, this::expired);
        upstream = opened;
        toUpstream = new RelayPump(server.loop(), peer, upstream, server::waiting);
        toPeer = new RelayPump(server.loop(), upstream, peer, server::waiting);
        send(new RelayOpened(request.upstream()));
    }

    private void notConnected() {
        if (over || upstream != null) {
            return;
        }
        long now = server.loop().nowMillis();
        server.paths().failed(request.upstream(), now);
        end();
        // a process that reaches nothing at present cannot tell whether this upstream is the reason
        boolean reaches = server.paths().state() == PathMonitor.State.DIRECT;
        refuse(reaches ? RelayRefusal.UNREACHABLE : RelayRefusal.NO_PATH);
    }

    /** Answers that the connection is not relayed, and closes it. */
    void refuse(RelayRefusal reason) {
        over = true;
        cancelConnect.run();
        server.observer()
                .refused(request.requestId(), request.upstream(), request.sender(), reason);
        send(new RelayRefused(reason.name()));
        toPeer.onDrained(peer::closeSilently);
    }

    @Override
    public void received(Buffer bytes) {
        if (toUpstream != null && !over) {
            toUpstream.write(bytes, bytes.remaining());
        }
    }

    @Override
    public void closed() {
        finish(RelayEnding.PEER_CLOSED);
        if (upstream != null) {
            upstream.terminateSilently();
        }
    }

    private void expired() {
        finish(RelayEnding.EXPIRED);
        upstream.terminateSilently();
        peer.terminateSilently();
    }

    private void upstreamClosed(boolean orderly) {
        if (over || upstream == null) {
            return;
        }
        finish(orderly ? RelayEnding.UPSTREAM_CLOSED : RelayEnding.UPSTREAM_BROKE);
        send(new RelayEnd(orderly));
        toPeer.onDrained(peer::closeSilently);
    }

    private void send(NodeMessage message) {
        toPeer.write(Buffers.wrap(peer.getMemoryManager(), PeerCodec.encode(message)), 0);
    }

    private void finish(RelayEnding how) {
        if (over) {
            return;
        }
        end();
        if (upstream != null) {
            long millis = server.loop().nowMillis() - startedMillis;
            Usage usage = new Usage(how, millis, toUpstream.passedOn(), toPeer.passedOn());
            server.observer()
                    .relayed(request.requestId(), request.upstream(), request.sender(), usage);
        }
    }

    private void end() {
        over = true;
        timeout.cancel();
        cancelConnect.run();
        server.ended();
    }

    /** Passes on what the upstream sends. */
    private final class UpstreamFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Buffer buffer = context.getMessage();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            if (!over) {
                byte[] frame = PeerCodec.encode(new RelayData(bytes));
                toPeer.write(Buffers.wrap(peer.getMemoryManager(), frame), bytes.length);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            if (SocketFilter.endedByOtherSide(connection)) {
                upstreamClosed(SocketFilter.endedOrderly(connection));
            } else {
                // closed by this process, which says nothing about the upstream
                peer.terminateSilently();
            }
            return context.getInvokeAction();
        }
    }
}
