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
package io.trailladder.core.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The work under way at every upstream: this entry's own, counted exactly, and that of its peers as
 * they last told.
 *
 * @since 0.2
 */
public final class WorkerLoads {
    private final Map<String, Load> own = new HashMap<>();
    private final Map<String, List<WorkerUse>> byPeer = new HashMap<>();
    private final Map<String, Use> ofPeers = new HashMap<>();

    /** Work under way at one upstream. */
    private static final class Use {
        int requests;
        int promptTokens;

        void add(int moreRequests, int moreTokens) {
            requests += moreRequests;
            promptTokens += moreTokens;
        }

        boolean isNone() {
            return requests == 0 && promptTokens == 0;
        }
    }

    /** One upstream's load. */
    private static final class Load {
        final WorkerHealth health = new WorkerHealth();
        int requests;
        int promptTokens;
    }

    /**
     * Records that a request was sent.
     *
     * @param worker the upstream's name
     * @param promptTokens prompt tokens it must read
     */
    public void sent(String worker, int promptTokens) {
        Load load = load(worker);
        load.requests++;
        load.promptTokens += promptTokens;
    }

    /**
     * Records that an upstream has read a prompt.
     *
     * @param worker the upstream's name
     * @param promptTokens the tokens given with {@link #sent}
     */
    public void promptRead(String worker, int promptTokens) {
        load(worker).promptTokens -= promptTokens;
    }

    /**
     * Records that a request is no longer under way.
     *
     * @param worker the upstream's name
     */
    public void ended(String worker) {
        load(worker).requests--;
    }

    /**
     * Records a request that the upstream answered well.
     *
     * @param worker the upstream's name
     * @param nowMillis the time
     */
    public void succeeded(String worker, long nowMillis) {
        load(worker).health.succeeded(nowMillis);
    }

    /**
     * Records a request that the upstream failed.
     *
     * @param worker the upstream's name
     * @param nowMillis the time
     */
    public void failed(String worker, long nowMillis) {
        load(worker).health.failed(nowMillis);
    }

    /**
     * Records that no connection to an upstream came about.
     *
     * @param worker the upstream's name
     * @param nowMillis the time
     */
    public void unreachable(String worker, long nowMillis) {
        load(worker).health.unreachable(nowMillis);
    }

    /**
     * Takes over what a peer has under way.
     *
     * @param peer the peer's name
     * @param uses its use of upstreams; those it does not name are unused
     */
    public void peerUses(String peer, List<WorkerUse> uses) {
        peerLost(peer);
        byPeer.put(peer, List.copyOf(uses));
        uses.forEach(use -> count(ofPeers, use, 1));
    }

    /**
     * Forgets a peer.
     *
     * @param peer the peer's name
     */
    public void peerLost(String peer) {
        List<WorkerUse> before = byPeer.remove(peer);
        if (before != null) {
            before.forEach(use -> count(ofPeers, use, -1));
        }
    }

    /**
     * Returns what this entry has under way, to be told to the hub it relies on.
     *
     * @return its use of upstreams
     */
    public List<WorkerUse> ownUses() {
        return list(own());
    }

    /**
     * Returns what this entry and some peers have under way.
     *
     * @param peers the peers' names
     * @return their use of upstreams
     */
    public List<WorkerUse> groupUses(Collection<String> peers) {
        Map<String, Use> sum = own();
        for (String peer : peers) {
            byPeer.getOrDefault(peer, List.of()).forEach(use -> count(sum, use, 1));
        }
        return list(sum);
    }

    /**
     * Returns what all entries but one have under way.
     *
     * @param peer the name of that one
     * @return their use of upstreams
     */
    public List<WorkerUse> restUses(String peer) {
        Map<String, Use> sum = own();
        ofPeers.forEach((worker, use) -> add(sum, worker, use.requests, use.promptTokens));
        byPeer.getOrDefault(peer, List.of()).forEach(use -> count(sum, use, -1));
        return list(sum);
    }

    /**
     * Returns the requests under way at an upstream, of all entries.
     *
     * @param worker the upstream's name
     * @return a count
     */
    public int requests(String worker) {
        Use peers = ofPeers.get(worker);
        return ownRequests(worker) + (peers == null ? 0 : peers.requests);
    }

    /**
     * Returns the requests under way at some upstreams, of all entries.
     *
     * @param workers the upstreams
     * @return a count
     */
    public int requests(Collection<Worker> workers) {
        return workers.stream().mapToInt(worker -> requests(worker.id())).sum();
    }

    /**
     * Returns the prompt tokens waiting at an upstream, of all entries.
     *
     * @param worker the upstream's name
     * @return tokens
     */
    public int promptTokens(String worker) {
        Load load = own.get(worker);
        Use peers = ofPeers.get(worker);
        return (load == null ? 0 : load.promptTokens) + (peers == null ? 0 : peers.promptTokens);
    }

    /**
     * Tells whether an upstream is left out because of its recent failures.
     *
     * @param worker the upstream's name
     * @param nowMillis the time
     * @return true if other upstreams are to be preferred
     */
    public boolean ejected(String worker, long nowMillis) {
        Load load = own.get(worker);
        return load != null && load.health.ejected(nowMillis);
    }

    /**
     * Returns the part of an upstream's recent requests that it failed.
     *
     * @param worker the upstream's name
     * @return from 0 to 1
     */
    public double failedPart(String worker) {
        Load load = own.get(worker);
        return load == null ? 0 : load.health.failedPart();
    }

    /**
     * Forgets upstreams that are gone and have nothing under way.
     *
     * @param directory the upstreams known
     */
    public void forgetGone(WorkerDirectory directory) {
        own.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().requests == 0
                                        && directory.find(entry.getKey()).isEmpty());
    }

    private Map<String, Use> own() {
        Map<String, Use> sum = new HashMap<>();
        own.forEach(
                (worker, load) -> {
                    if (load.requests > 0) {
                        add(sum, worker, load.requests, load.promptTokens);
                    }
                });
        return sum;
    }

    private static List<WorkerUse> list(Map<String, Use> sum) {
        List<WorkerUse> uses = new ArrayList<>();
        sum.forEach(
                (worker, use) -> uses.add(new WorkerUse(worker, use.requests, use.promptTokens)));
        return uses;
    }

    private static void count(Map<String, Use> sum, WorkerUse use, int sign) {
        add(sum, use.worker(), sign * use.requests(), sign * use.promptTokens());
    }

    private static void add(Map<String, Use> sum, String worker, int requests, int promptTokens) {
        Use use = sum.computeIfAbsent(worker, name -> new Use());
        use.add(requests, promptTokens);
        if (use.isNone()) {
            sum.remove(worker);
        }
    }

    private int ownRequests(String worker) {
        Load load = own.get(worker);
        return load == null ? 0 : load.requests;
    }

    private Load load(String worker) {
        return own.computeIfAbsent(worker, name -> new Load());
    }
}
