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
import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.core.upstream.RelayPeers;
import io.trailladder.entry.http.CallFailure;
import io.trailladder.entry.http.ConnectionOpener;
import io.trailladder.entry.http.ConnectionOpener.Filters;
import io.trailladder.entry.http.OutgoingCall;
import io.trailladder.entry.http.OutgoingCall.UpstreamName;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.loop.LoopTimer;
import io.trailladder.wire.NodeMessage.RelayRequest;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.glassfish.grizzly.Connection;

/** The attempts to open one connection, of which the first that succeeds is used. */
final class ConnectionRace implements RelayDial.Listener {
    private final UpstreamDialer dialer;
    private final EventLoop loop;
    private final PathMonitor paths;
    private final RelayPeers choice;
    private final OutgoingCall call;
    private final Filters filters;
    private final ConnectionOpener.Listener listener;
    private final UpstreamName upstream;
    private final long startedMillis;
    private final Set<String> asked = new HashSet<>();
    private final Set<RelayDial> dials = new HashSet<>();
    private Runnable cancelDirect = () -> {};
    private LoopTimer timeout;
    private LoopTimer next;
    private boolean directFailed;
    private boolean refusedByAny;
    private boolean over;

    ConnectionRace(
            UpstreamDialer dialer,
            OutgoingCall call,
            Filters filters,
            ConnectionOpener.Listener listener) {
        this.dialer = dialer;
        this.loop = dialer.loop();
        this.paths = dialer.paths();
        this.choice = dialer.choice();
        this.startedMillis = loop.nowMillis();
        this.call = call;
        this.filters = filters;
        this.listener = listener;
        this.upstream = call.upstream().orElseThrow();
    }

    void start() {
        timeout = loop.schedule(call.connectTimeoutMillis(), this::timedOut);
        cancelDirect =
                loop.connect(
                        new InetSocketAddress(call.target().host(), call.target().port()),
                        filters.direct(),
                        this::directOpened,
                        cause -> loop.execute(this::directFailed));
        if (over) {
            // a connection to the own instance may open at once
            return;
        }
        if (paths.prefersRelay(upstream.name())) {
            askPeer();
        } else {
            long delay =
                    Math.min(dialer.directMillis(upstream.name()), call.connectTimeoutMillis() / 2);
            next = loop.schedule(delay, () -> directIsLate(delay));
        }
    }

    private void directOpened(Connection<?> connection) {
        paths.opened(upstream.name(), loop.nowMillis());
        if (over) {
            connection.terminateSilently();
            return;
        }
        end();
        listener.opened(connection, Optional.empty());
    }

    private void directFailed() {
        if (over) {
            return;
        }
        directFailed = true;
        paths.failed(upstream.name(), loop.nowMillis());
        if (asked.isEmpty()) {
            askPeer();
        } else {
            endIfHopeless();
        }
    }

    private void directIsLate(long delayMillis) {
        long elapsed = loop.nowMillis() - startedMillis;
        if (elapsed > 2 * delayMillis && elapsed < call.connectTimeoutMillis() / 2) {
            // the process was held up itself, and may not yet have read that the connection is
            // open
            next = loop.schedule(delayMillis, () -> directIsLate(elapsed));
            return;
        }
        paths.failed(upstream.name(), loop.nowMillis());
        askPeer();
    }

    private void askPeer() {
        if (next != null) {
            next.cancel();
        }
        long now = loop.nowMillis();
        boolean pathLikelyLost =
                paths.state() != PathMonitor.State.DIRECT || paths.prefersRelay(upstream.name());
        int maxPeers =
                pathLikelyLost ? UpstreamDialer.MAX_PEERS_WITHOUT_PATH : UpstreamDialer.MAX_PEERS;
        boolean mayAsk = asked.size() < maxPeers && paths.mayRelay(upstream.name(), now);
        Optional<GatewayMember> peer = mayAsk ? dialer.choosePeer(asked) : Optional.empty();
        if (peer.isEmpty()) {
            boolean allFailed = !asked.isEmpty() && dials.isEmpty() && !refusedByAny;
            if (allFailed && (mayAsk || asked.size() >= UpstreamDialer.MAX_PEERS_WITHOUT_PATH)) {
                paths.noPeerReaches(now);
            }
            endIfHopeless();
            return;
        }
        asked.add(peer.get().name());
        long remaining = call.connectTimeoutMillis() - (now - startedMillis);
        RelayRequest request =
                new RelayRequest(
                        dialer.self(),
                        upstream.name(),
                        upstream.requestId(),
                        remaining,
                        upstream.lifetimeMillis());
        RelayDial dial = new RelayDial(loop, peer.get(), request, this);
        dials.add(dial);
        dial.start(filters.relayed());
        next = loop.schedule(UpstreamDialer.PEER_MILLIS, () -> peerIsLate(dial));
    }

    private void peerIsLate(RelayDial dial) {
        choice.refused(dial.peer(), loop.nowMillis());
        askPeer();
    }

    @Override
    public void opened(RelayDial dial, Connection<?> connection) {
        dials.remove(dial);
        long now = loop.nowMillis();
        paths.openedThroughPeer(upstream.name(), now);
        choice.opened(dial.peer());
        end();
        String peer = dial.peer().name();
        dialer.observer().reached(upstream.requestId(), upstream.name(), peer, now - startedMillis);
        listener.opened(connection, Optional.of(peer));
    }

    @Override
    public void refused(RelayDial dial, RelayRefusal reason) {
        dials.remove(dial);
        String peer = dial.peer().name();
        dialer.observer().notReached(upstream.requestId(), upstream.name(), peer, reason);
        long now = loop.nowMillis();
        refusedByAny |= !reason.isMissingPath();
        if (reason == RelayRefusal.UNREACHABLE) {
            if (paths.state() != PathMonitor.State.ISOLATED) {
                paths.failedThroughPeer(upstream.name(), now);
            }
        } else {
            choice.refused(dial.peer(), now);
        }
        askPeer();
    }

    @Override
    public void ended(RelayDial dial) {
        choice.ended(dial.peer());
    }

    private void endIfHopeless() {
        if (over || !dials.isEmpty()) {
            return;
        }
        long untilLate = dialer.directMillis(upstream.name()) - (loop.nowMillis() - startedMillis);
        if (directFailed || (untilLate <= 0 && paths.prefersRelay(upstream.name()))) {
            end();
            listener.failed(CallFailure.UNREACHABLE);
        } else if (untilLate > 0) {
            next = loop.schedule(untilLate, this::endIfHopeless);
        }
    }

    private void timedOut() {
        end();
        listener.failed(CallFailure.CONNECT_TIMEOUT);
    }

    private void end() {
        over = true;
        timeout.cancel();
        if (next != null) {
            next.cancel();
        }
        cancelDirect.run();
        dials.forEach(RelayDial::cancel);
        dials.clear();
    }

    void cancel() {
        if (!over) {
            end();
        }
    }
}
