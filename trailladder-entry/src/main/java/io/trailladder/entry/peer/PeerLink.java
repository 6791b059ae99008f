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

import io.trailladder.entry.loop.FrameWriter;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerCodec;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.Hello;
import io.trailladder.wire.PeerMessage.Proof;
import java.net.SocketAddress;
import org.glassfish.grizzly.Connection;

/**
 * One connection to a peer, including its handshake.
 *
 * @since 0.1
 */
final class PeerLink {
    /** Maximum size of a frame from a peer that is not yet authenticated, in bytes. */
    static final int MAX_HANDSHAKE_BYTES = 4096;

    private static final int MIN_NONCE_BYTES = 16;

    private final Connection<SocketAddress> connection;
    private final boolean dialled;
    private final EntryInfo self;
    private final PeerAuth auth;
    private final byte[] nonce = PeerAuth.nonce();
    private final long openedNanos = System.nanoTime();
    private Hello peerHello;
    private volatile boolean up;

    @SuppressWarnings("unchecked") // a TCP connection has socket addresses
    PeerLink(Connection<?> connection, boolean dialled, EntryInfo self, PeerAuth auth) {
        this.connection = (Connection<SocketAddress>) connection;
        this.dialled = dialled;
        this.self = self;
        this.auth = auth;
    }

    void open() {
        send(new Hello(self, nonce));
    }

    /** Processes a handshake message. Returns true once the link is up. */
    boolean handshake(PeerMessage message) {
        if (message instanceof Hello hello && peerHello == null && acceptable(hello)) {
            peerHello = hello;
            send(new Proof(auth.proof(hello.nonce(), nonce, self.id())));
            return false;
        }
        boolean proved =
                message instanceof Proof proof
                        && peerHello != null
                        && auth.accepts(
                                proof.proof(), nonce, peerHello.nonce(), peerHello.self().id());
        if (proved) {
            up = true;
        } else {
            close();
        }
        return proved;
    }

    boolean isUp() {
        return up;
    }

    long openedNanos() {
        return openedNanos;
    }

    EntryInfo peer() {
        return peerHello.self();
    }

    /** Returns the name of the entry that opened the connection, which is the same at both ends. */
    String dialler() {
        return dialled ? self.id() : peer().id();
    }

    void send(PeerMessage message) {
        byte[] frame = PeerCodec.encode(message);
        FrameWriter.write(connection, frame, this::close);
    }

    void close() {
        connection.closeSilently();
    }

    private boolean acceptable(Hello hello) {
        boolean named = hello.self() != null && hello.self().id() != null;
        return named
                && !hello.self().id().equals(self.id())
                && hello.nonce() != null
                && hello.nonce().length >= MIN_NONCE_BYTES;
    }
}
