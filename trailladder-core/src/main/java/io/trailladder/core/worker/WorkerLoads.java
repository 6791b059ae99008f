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
    private final Map<String, Map<String, WorkerUse>> byPeer = new HashMap<>();

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
        Map<String, WorkerUse> byWorker = new HashMap<>();
        uses.forEach(use -> byWorker.put(use.worker(), use));
        byPeer.put(peer, byWorker);
    }

    /**
     * Forgets a peer.
     *
     * @param peer the peer's name
     */
    public void peerLost(String peer) {
        byPeer.remove(peer);
    }

    /**
     * Returns what this entry has under way, to be told to its peers.
     *
     * @return its use of upstreams
     */
    public List<WorkerUse> ownUses() {
        List<WorkerUse> uses = new ArrayList<>();
        own.forEach(
                (worker, load) -> {
                    if (load.requests > 0) {
                        uses.add(new WorkerUse(worker, load.requests, load.promptTokens));
                    }
                });
        return uses;
    }

    /**
     * Returns the requests under way at an upstream, of all entries.
     *
     * @param worker the upstream's name
     * @return a count
     */
    public int requests(String worker) {
        int total = ownRequests(worker);
        for (Map<String, WorkerUse> uses : byPeer.values()) {
            WorkerUse use = uses.get(worker);
            total += use == null ? 0 : use.requests();
        }
        return total;
    }

    /**
     * Returns the prompt tokens waiting at an upstream, of all entries.
     *
     * @param worker the upstream's name
     * @return tokens
     */
    public int promptTokens(String worker) {
        Load load = own.get(worker);
        int total = load == null ? 0 : load.promptTokens;
        for (Map<String, WorkerUse> uses : byPeer.values()) {
            WorkerUse use = uses.get(worker);
            total += use == null ? 0 : use.promptTokens();
        }
        return total;
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

    private int ownRequests(String worker) {
        Load load = own.get(worker);
        return load == null ? 0 : load.requests;
    }

    private Load load(String worker) {
        return own.computeIfAbsent(worker, name -> new Load());
    }
}
