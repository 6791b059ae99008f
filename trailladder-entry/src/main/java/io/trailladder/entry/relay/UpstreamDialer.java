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
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.core.upstream.RelayPeers;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.entry.http.ConnectionOpener;
import io.trailladder.entry.http.OutgoingCall;
import io.trailladder.entry.loop.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Opens connections to upstreams: directly, and through peers if that fails or takes unusually
 * long. Whichever connection opens first is used, and no byte of a request is sent before.
 *
 * <p>While an upstream is known not to be reached, both are tried at once, so that the direct path
 * is used again as soon as it is back.
 *
 * @since 0.7
 */
public final class UpstreamDialer implements ConnectionOpener {
    /** Time in which a direct connection usually opens, without the distance, in milliseconds. */
    static final long DIRECT_MILLIS = 50;

    /** Number of one-way delays that may be added to it: two round trips. */
    private static final int ONE_WAY_DELAYS = 4;

    /** Time after which another peer is asked if one has not answered, in milliseconds. */
    static final long PEER_MILLIS = 60;

    /** Number of peers asked about one upstream that fails while others are reached. */
    static final int MAX_PEERS = 2;

    /** Number of peers asked once this process is likely to have lost its own path. */
    static final int MAX_PEERS_WITHOUT_PATH = 6;

    private final EventLoop loop;
    private final String self;
    private final Topology topology;
    private final UpstreamDirectory directory;
    private final PathMonitor paths;
    private final RelayPeers choice;
    private final Supplier<List<GatewayMember>> peers;
    private final RelayObserver observer;

    /**
     * Creates a dialer.
     *
     * @param loop the loop on whose thread it is called
     * @param self name of this process
     * @param topology the location of this process
     * @param directory the known upstreams
     * @param paths records which upstreams are reached, and how
     * @param choice chooses the peers that are asked
     * @param peers supplies the known processes
     * @param observer receives what peers answered
     */
    public UpstreamDialer(
            EventLoop loop,
            String self,
            Topology topology,
            UpstreamDirectory directory,
            PathMonitor paths,
            RelayPeers choice,
            Supplier<List<GatewayMember>> peers,
            RelayObserver observer) {
        this.loop = loop;
        this.self = self;
        this.topology = topology;
        this.directory = directory;
        this.paths = paths;
        this.choice = choice;
        this.peers = peers;
        this.observer = observer;
    }

    @Override
    public Runnable open(OutgoingCall call, Filters filters, Listener listener) {
        ConnectionRace race = new ConnectionRace(this, call, filters, listener);
        race.start();
        return race::cancel;
    }

    EventLoop loop() {
        return loop;
    }

    String self() {
        return self;
    }

    PathMonitor paths() {
        return paths;
    }

    RelayPeers choice() {
        return choice;
    }

    RelayObserver observer() {
        return observer;
    }

    /** Chooses a peer that was not yet asked; empty if there is none. */
    Optional<GatewayMember> choosePeer(Set<String> asked) {
        return choice.choose(peers.get(), asked, loop.nowMillis());
    }

    /** Returns the time in which a direct connection to an upstream usually opens. */
    long directMillis(String upstream) {
        double oneWayMillis =
                directory
                        .find(upstream)
                        .map(Upstream::dataCentre)
                        .map(dataCentre -> topology.distance(dataCentre).oneWayMillis())
                        .orElse(0.0);
        return DIRECT_MILLIS + Math.round(ONE_WAY_DELAYS * oneWayMillis);
    }
}
