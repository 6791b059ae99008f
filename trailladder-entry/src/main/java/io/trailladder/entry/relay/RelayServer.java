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
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.mesh.RelayAcceptor;
import io.trailladder.entry.mesh.RelayTarget;
import io.trailladder.wire.NodeMessage.RelayRequest;
import java.util.Optional;
import org.glassfish.grizzly.Connection;

/**
 * Relays connections of peers to upstreams that they do not reach. An upstream is called at the
 * address under which this process knows it, never through a further peer.
 *
 * @since 0.7
 */
public final class RelayServer implements RelayAcceptor {
    private static final int MAX_CONNECTIONS = 256;

    /** One of so many file descriptors may be used for a relayed connection, which takes two. */
    private static final int DESCRIPTORS_DIVISOR = 16;

    /** Bytes waiting in all connections at which no more are accepted. */
    private static final long MAX_WAITING_BYTES = 8 * 1024 * 1024;

    private final EventLoop loop;
    private final UpstreamDirectory directory;
    private final PathMonitor paths;
    private final RelayObserver observer;
    private final int maxConnections;
    private int open;
    private long waitingBytes;
    private boolean stopping;

    /**
     * Creates a server without connections.
     *
     * @param loop the loop on whose thread it is called
     * @param directory the known upstreams
     * @param paths tells whether this process reaches upstreams itself
     * @param observer receives what is relayed and refused
     * @param descriptors number of file descriptors that the process may use; 0 if not known
     */
    public RelayServer(
            EventLoop loop,
            UpstreamDirectory directory,
            PathMonitor paths,
            RelayObserver observer,
            int descriptors) {
        this.loop = loop;
        this.directory = directory;
        this.paths = paths;
        this.observer = observer;
        this.maxConnections =
                descriptors > 0
                        ? Math.max(1, Math.min(MAX_CONNECTIONS, descriptors / DESCRIPTORS_DIVISOR))
                        : MAX_CONNECTIONS;
    }

    @Override
    public RelayTarget accept(Connection<?> connection, RelayRequest request) {
        Optional<Upstream> upstream = directory.find(request.upstream());
        RelayedConnection relayed = new RelayedConnection(this, connection, request);
        Optional<RelayRefusal> refusal = refusal(upstream.isPresent());
        if (refusal.isPresent()) {
            relayed.refuse(refusal.get());
        } else {
            open++;
            relayed.connect(upstream.get());
        }
        return relayed;
    }

    private Optional<RelayRefusal> refusal(boolean upstreamKnown) {
        if (stopping) {
            return Optional.of(RelayRefusal.STOPPING);
        }
        if (!upstreamKnown) {
            return Optional.of(RelayRefusal.UNKNOWN_UPSTREAM);
        }
        if (paths.isIsolated(loop.nowMillis())) {
            return Optional.of(RelayRefusal.NO_PATH);
        }
        boolean full = open >= maxConnections || waitingBytes >= MAX_WAITING_BYTES;
        return full ? Optional.of(RelayRefusal.FULL) : Optional.empty();
    }

    /** Refuses further connections; those that are open go on. */
    public void stop() {
        stopping = true;
    }

    /**
     * Returns the number of connections that are relayed, or being opened.
     *
     * @return a count
     */
    public int open() {
        return open;
    }

    /** Returns the number of bytes that were read and are not yet passed on. */
    long waitingBytes() {
        return waitingBytes;
    }

    EventLoop loop() {
        return loop;
    }

    PathMonitor paths() {
        return paths;
    }

    RelayObserver observer() {
        return observer;
    }

    void ended() {
        open--;
    }

    void waiting(long bytes) {
        waitingBytes += bytes;
    }
}
