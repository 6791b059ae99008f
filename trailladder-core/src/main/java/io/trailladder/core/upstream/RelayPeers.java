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
package io.trailladder.core.upstream;

import io.trailladder.core.RecentMap;
import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.topology.Topology;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Chooses the peers that connect this process to upstreams that it does not reach: near ones first,
 * those through which few connections of this process run for the bandwidth that they have, and
 * last those that have just refused.
 *
 * @since 0.7
 */
public final class RelayPeers {
    /** How long a peer is avoided after its first refusal, in milliseconds; doubles with each. */
    static final long MIN_AVOID_MILLIS = 500;

    /** Refusals in a row by peers of one data centre after which all of its peers are avoided. */
    static final int MAX_REFUSALS = 3;

    private static final int MAX_DOUBLINGS = 4;
    private static final double LOAD_SCALE = 1_000;

    /** Maximum number of peers that are remembered. */
    private static final int MAX_REMEMBERED = 1_024;

    private final String self;
    private final Topology topology;
    private final SplittableRandom random;
    private final Map<String, Standing> standings = new RecentMap<>(MAX_REMEMBERED);
    private final Map<String, Standing> dataCentres = new RecentMap<>(MAX_REMEMBERED);

    /** What this process remembers of a peer, or of the peers of a data centre. */
    private static final class Standing {
        private int open;
        private int refusals;
        private long avoidedUntilMillis = Long.MIN_VALUE;

        boolean isAvoided(long nowMillis) {
            return nowMillis < avoidedUntilMillis;
        }

        void opened() {
            refusals = 0;
            avoidedUntilMillis = Long.MIN_VALUE;
        }

        /** Avoids it after some refusals in a row, and longer after each further one. */
        void refused(int tolerated, long nowMillis) {
            refusals++;
            if (refusals > tolerated) {
                int doublings = Math.min(MAX_DOUBLINGS, refusals - tolerated - 1);
                avoidedUntilMillis = nowMillis + (MIN_AVOID_MILLIS << doublings);
            }
        }
    }

    /**
     * Creates a selector.
     *
     * @param self name of this process, which is never chosen
     * @param topology the location of this process
     * @param random spreads the connections of several processes over equal peers
     */
    public RelayPeers(String self, Topology topology, SplittableRandom random) {
        this.self = self;
        this.topology = topology;
        this.random = random;
    }

    /**
     * Chooses a peer.
     *
     * @param peers the known processes
     * @param excluded names of peers that are not chosen
     * @param nowMillis the current time, in milliseconds
     * @return the peer; empty if all are excluded
     */
    public Optional<GatewayMember> choose(
            Collection<GatewayMember> peers, Set<String> excluded, long nowMillis) {
        GatewayMember best = null;
        long bestRank = Long.MAX_VALUE;
        int equal = 0;
        for (GatewayMember peer : peers) {
            if (peer.name().equals(self) || excluded.contains(peer.name())) {
                continue;
            }
            long rank = rank(peer, nowMillis);
            equal = rank == bestRank ? equal + 1 : 1;
            if (rank < bestRank || (rank == bestRank && random.nextInt(equal) == 0)) {
                best = peer;
                bestRank = rank;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the rank of a peer; avoided ones come last, then the more distant ones. */
    private long rank(GatewayMember peer, long nowMillis) {
        Standing standing = standings.get(peer.name());
        int open = standing == null ? 0 : standing.open;
        boolean avoided =
                (standing != null && standing.isAvoided(nowMillis))
                        || of(dataCentres, peer.dataCentre()).isAvoided(nowMillis);
        long distance = Math.round(topology.distance(peer.dataCentre()).oneWayMillis() * 1_000);
        long load = Math.round(LOAD_SCALE * open / Math.max(1, peer.linkMbps()));
        return ((avoided ? 1L : 0L) << 48) + (distance << 32) + load;
    }

    /**
     * Records that a connection through a peer was opened.
     *
     * @param peer the peer
     */
    public void opened(GatewayMember peer) {
        Standing standing = of(standings, peer.name());
        standing.open++;
        standing.opened();
        of(dataCentres, peer.dataCentre()).opened();
    }

    /**
     * Records that a connection through a peer has ended.
     *
     * @param peer the peer
     */
    public void ended(GatewayMember peer) {
        Standing standing = of(standings, peer.name());
        standing.open = Math.max(0, standing.open - 1);
    }

    /**
     * Records that a peer refused to open a connection, or did not answer. It is avoided for a
     * while, longer after each refusal in a row.
     *
     * @param peer the peer
     * @param nowMillis the current time, in milliseconds
     */
    public void refused(GatewayMember peer, long nowMillis) {
        of(standings, peer.name()).refused(0, nowMillis);
        of(dataCentres, peer.dataCentre()).refused(MAX_REFUSALS - 1, nowMillis);
    }

    private static Standing of(Map<String, Standing> known, String name) {
        return known.computeIfAbsent(name, unknown -> new Standing());
    }
}
