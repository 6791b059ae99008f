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

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.entry.http.RelayState;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.loop.FrameWriter;
import io.trailladder.platform.http.HostPort;
import io.trailladder.wire.NodeMessage.RelayRequest;
import io.trailladder.wire.PeerCodec;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChain;

/** One attempt to have a peer connect this process to an upstream. */
final class RelayDial implements RelayState.Listener {
    private final EventLoop loop;
    private final GatewayMember peer;
    private final RelayRequest request;
    private final Listener listener;
    private Runnable cancelConnect = () -> {};
    private Connection<?> connection;
    private boolean over;
    private boolean open;

    /** Receives the result. Either of the first two methods is called, at most once. */
    interface Listener {
        /** Called when the connection to the upstream is open. */
        void opened(RelayDial dial, Connection<?> connection);

        /** Called when the peer does not connect to the upstream. */
        void refused(RelayDial dial, RelayRefusal reason);

        /** Called when a connection that was open has ended. */
        void ended(RelayDial dial);
    }

    RelayDial(EventLoop loop, GatewayMember peer, RelayRequest request, Listener listener) {
        this.loop = loop;
        this.peer = peer;
        this.request = request;
        this.listener = listener;
    }

    GatewayMember peer() {
        return peer;
    }

    void start(FilterChain relayed) {
        HostPort address = HostPort.parse(peer.address());
        cancelConnect =
                loop.connect(
                        new InetSocketAddress(address.host(), address.port()),
                        relayed,
                        this::connected,
                        cause -> loop.execute(() -> refused(RelayRefusal.NO_ANSWER)));
    }

    @SuppressWarnings("unchecked") // a TCP connection's address type
    private void connected(Connection<?> opened) {
        if (over) {
            opened.terminateSilently();
            return;
        }
        connection = opened;
        RelayState.attach(opened, this);
        FrameWriter.write(
                (Connection<SocketAddress>) opened, PeerCodec.encode(request), this::closed);
    }

    @Override
    public void opened() {
        if (!over) {
            over = true;
            open = true;
            listener.opened(this, connection);
        }
    }

    @Override
    public void refused(String reason) {
        refused(RelayRefusal.of(reason));
    }

    private void refused(RelayRefusal reason) {
        if (!over) {
            cancel();
            listener.refused(this, reason);
        }
    }

    @Override
    public void closed() {
        refused(RelayRefusal.NO_ANSWER);
        if (open) {
            open = false;
            listener.ended(this);
        }
    }

    /** Gives up the attempt; its listener is not called any more. */
    void cancel() {
        over = true;
        if (connection == null) {
            cancelConnect.run();
        } else {
            connection.terminateSilently();
        }
    }
}
