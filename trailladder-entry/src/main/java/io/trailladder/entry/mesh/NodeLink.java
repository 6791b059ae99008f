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
package io.trailladder.entry.mesh;

import io.trailladder.entry.loop.FrameWriter;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.PeerCodec;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.glassfish.grizzly.Connection;

/** One connection to a peer. */
final class NodeLink {
    private final Connection<SocketAddress> connection;
    private final String dialledAddress;
    private NodeHello peer;
    private long lastReceivedMillis;

    @SuppressWarnings("unchecked") // a TCP connection's address type
    NodeLink(Connection<?> connection, String dialledAddress, long nowMillis) {
        this.connection = (Connection<SocketAddress>) connection;
        this.dialledAddress = dialledAddress;
        this.lastReceivedMillis = nowMillis;
    }

    Connection<SocketAddress> connection() {
        return connection;
    }

    /** Returns the IP address of the other side; empty if the connection has ended. */
    String remoteHost() {
        return connection.getPeerAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
    }

    void helloReceived(NodeHello hello) {
        peer = hello;
    }

    boolean hasHello() {
        return peer != null;
    }

    NodeHello peer() {
        return peer;
    }

    /** Returns whether this process opened the link. */
    boolean isDialled() {
        return !dialledAddress.isEmpty();
    }

    /** Returns the address at which the peer accepts links; empty if it is not yet known. */
    String peerAddress() {
        return hasHello() ? peer.address() : dialledAddress;
    }

    void messageReceived(long nowMillis) {
        lastReceivedMillis = nowMillis;
    }

    long lastReceivedMillis() {
        return lastReceivedMillis;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    void send(NodeMessage message) {
        sendFrame(PeerCodec.encode(message));
    }

    void sendFrame(byte[] frame) {
        FrameWriter.write(connection, frame, this::close);
    }

    void close() {
        connection.terminateSilently();
    }
}
