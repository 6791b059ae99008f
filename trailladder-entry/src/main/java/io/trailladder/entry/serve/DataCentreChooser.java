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
package io.trailladder.entry.serve;

import io.trailladder.entry.peer.Peers;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.Heartbeat;
import io.trailladder.wire.PeerMessage.TargetLoad;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses the entry that serves a request: this one, or one in another allowed data centre whose
 * engines are predicted to be free earlier.
 *
 * @since 0.1
 */
public final class DataCentreChooser {
    /** What passing a request to another data centre costs, in milliseconds of first-token time. */
    static final int REMOTE_PENALTY_MILLIS = 20;

    private static final int NOT_SERVED = Integer.MAX_VALUE;

    private final Peers links;
    private final Placements placements;
    private final Map<String, Heartbeat> heartbeats = new ConcurrentHashMap<>();

    /**
     * Creates the chooser.
     *
     * @param links knows the live peers
     * @param placements knows this data centre's upstreams
     */
    public DataCentreChooser(Peers links, Placements placements) {
        this.links = links;
        this.placements = placements;
    }

    /**
     * Takes a peer's heartbeat.
     *
     * @param peer the peer's name
     * @param heartbeat the heartbeat
     */
    public void heartbeatReceived(String peer, Heartbeat heartbeat) {
        heartbeats.put(peer, heartbeat);
    }

    /**
     * Forgets a peer.
     *
     * @param peer the peer's name
     */
    public void lost(String peer) {
        heartbeats.remove(peer);
    }

    /**
     * Returns the last heartbeat of a peer.
     *
     * @param peer the peer's name
     * @return the heartbeat, if one came
     */
    public Optional<Heartbeat> heartbeat(String peer) {
        return Optional.ofNullable(heartbeats.get(peer));
    }

    /**
     * Tells whether a peer has said that it stops.
     *
     * @param peer the peer's name
     * @return false if its last heartbeat does not say so, or none came
     */
    public boolean isStopping(String peer) {
        return heartbeat(peer).map(Heartbeat::draining).orElse(false);
    }

    /**
     * Finds a better place than here.
     *
     * @param target model or service
     * @param allowed the data centres the row allows
     * @param here this entry's data centre
     * @return a peer to pass the request to; empty if this entry should serve it
     */
    public Optional<EntryInfo> fasterEntry(String target, List<String> allowed, String here) {
        int ownWait = placements.minQueueMillis().getOrDefault(target, NOT_SERVED);
        Optional<EntryInfo> best =
                best(target, allowed.stream().filter(d -> !d.equals(here)).toList());
        return best.filter(peer -> queueMillis(peer, target) < ownWait - REMOTE_PENALTY_MILLIS);
    }

    /**
     * Finds an entry for a request that must not be read here.
     *
     * @param target model or service, if known
     * @param allowed the data centres it may be read in
     * @return a peer; empty if none is live
     */
    public Optional<EntryInfo> entryIn(Optional<String> target, List<String> allowed) {
        Optional<EntryInfo> serving = target.flatMap(t -> best(t, allowed));
        return serving.or(() -> random(candidates(allowed)));
    }

    private Optional<EntryInfo> best(String target, Collection<String> allowed) {
        List<EntryInfo> serving =
                candidates(allowed).stream()
                        .filter(peer -> queueMillis(peer, target) != NOT_SERVED)
                        .toList();
        int least = serving.stream().mapToInt(peer -> queueMillis(peer, target)).min().orElse(0);
        return random(
                serving.stream()
                        .filter(peer -> queueMillis(peer, target) <= least + REMOTE_PENALTY_MILLIS)
                        .sorted(Comparator.comparing(EntryInfo::id))
                        .toList());
    }

    private List<EntryInfo> candidates(Collection<String> allowed) {
        return links.live().stream()
                .filter(peer -> allowed.contains(peer.dataCentre()))
                .filter(peer -> !isStopping(peer.id()))
                .toList();
    }

    private int queueMillis(EntryInfo peer, String target) {
        return heartbeat(peer.id()).stream()
                .flatMap(heartbeat -> heartbeat.loads().stream())
                .filter(load -> load.target().equals(target))
                .mapToInt(TargetLoad::queueMillis)
                .findFirst()
                .orElse(NOT_SERVED);
    }

    private static Optional<EntryInfo> random(List<EntryInfo> peers) {
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(ThreadLocalRandom.current().nextInt(peers.size())));
    }
}
