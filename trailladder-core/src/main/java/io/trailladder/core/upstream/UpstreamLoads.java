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
public final class UpstreamLoads {
    private final Map<String, Load> own = new HashMap<>();
    private final Map<String, List<UpstreamUse>> byPeer = new HashMap<>();
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
        final UpstreamHealth health = new UpstreamHealth();
        int requests;
        int promptTokens;
    }

    /**
     * Records that a request was sent.
     *
     * @param upstream the upstream's name
     * @param promptTokens prompt tokens it must read
     */
    public void sent(String upstream, int promptTokens) {
        Load load = load(upstream);
        load.requests++;
        load.promptTokens += promptTokens;
    }

    /**
     * Records that an upstream has read a prompt.
     *
     * @param upstream the upstream's name
     * @param promptTokens the tokens given with {@link #sent}
     */
    public void promptRead(String upstream, int promptTokens) {
        load(upstream).promptTokens -= promptTokens;
    }

    /**
     * Records that a request is no longer under way.
     *
     * @param upstream the upstream's name
     */
    public void ended(String upstream) {
        load(upstream).requests--;
    }

    /**
     * Records a request that the upstream answered well.
     *
     * @param upstream the upstream's name
     * @param nowMillis the time
     */
    public void succeeded(String upstream, long nowMillis) {
        load(upstream).health.succeeded(nowMillis);
    }

    /**
     * Records a request that the upstream failed.
     *
     * @param upstream the upstream's name
     * @param nowMillis the time
     */
    public void failed(String upstream, long nowMillis) {
        load(upstream).health.failed(nowMillis);
    }

    /**
     * Records that no connection to an upstream came about.
     *
     * @param upstream the upstream's name
     * @param nowMillis the time
     */
    public void unreachable(String upstream, long nowMillis) {
        load(upstream).health.unreachable(nowMillis);
    }

    /**
     * Takes over what a peer has under way.
     *
     * @param peer the peer's name
     * @param uses its use of upstreams; those it does not name are unused
     */
    public void setPeerUses(String peer, List<UpstreamUse> uses) {
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
        List<UpstreamUse> before = byPeer.remove(peer);
        if (before != null) {
            before.forEach(use -> count(ofPeers, use, -1));
        }
    }

    /**
     * Returns what this entry has under way, to be told to the hub it relies on.
     *
     * @return its use of upstreams
     */
    public List<UpstreamUse> ownUses() {
        return list(own());
    }

    /**
     * Returns what this entry and some peers have under way.
     *
     * @param peers the peers' names
     * @return their use of upstreams
     */
    public List<UpstreamUse> groupUses(Collection<String> peers) {
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
    public List<UpstreamUse> usesExcept(String peer) {
        Map<String, Use> sum = own();
        ofPeers.forEach((upstream, use) -> add(sum, upstream, use.requests, use.promptTokens));
        byPeer.getOrDefault(peer, List.of()).forEach(use -> count(sum, use, -1));
        return list(sum);
    }

    /**
     * Returns the requests under way at an upstream that this entry sent.
     *
     * @param upstream the upstream's name
     * @return a count
     */
    public int ownRequests(String upstream) {
        Load load = own.get(upstream);
        return load == null ? 0 : load.requests;
    }

    /**
     * Returns the prompt tokens waiting at an upstream that this entry sent.
     *
     * @param upstream the upstream's name
     * @return tokens
     */
    public int ownPromptTokens(String upstream) {
        Load load = own.get(upstream);
        return load == null ? 0 : load.promptTokens;
    }

    /**
     * Returns the requests under way at an upstream, of all entries.
     *
     * @param upstream the upstream's name
     * @return a count
     */
    public int requests(String upstream) {
        Use peers = ofPeers.get(upstream);
        return ownRequests(upstream) + (peers == null ? 0 : peers.requests);
    }

    /**
     * Returns the requests under way at some upstreams, of all entries.
     *
     * @param upstreams the upstreams
     * @return a count
     */
    public int requests(Collection<Upstream> upstreams) {
        return upstreams.stream().mapToInt(upstream -> requests(upstream.id())).sum();
    }

    /**
     * Returns the prompt tokens waiting at an upstream, of all entries.
     *
     * @param upstream the upstream's name
     * @return tokens
     */
    public int promptTokens(String upstream) {
        Use peers = ofPeers.get(upstream);
        return ownPromptTokens(upstream) + (peers == null ? 0 : peers.promptTokens);
    }

    /**
     * Tells whether an upstream is left out because of its recent failures.
     *
     * @param upstream the upstream's name
     * @param nowMillis the time
     * @return true if other upstreams are to be preferred
     */
    public boolean ejected(String upstream, long nowMillis) {
        Load load = own.get(upstream);
        return load != null && load.health.ejected(nowMillis);
    }

    /**
     * Returns the part of an upstream's recent requests that it failed.
     *
     * @param upstream the upstream's name
     * @return from 0 to 1
     */
    public double failedFraction(String upstream) {
        Load load = own.get(upstream);
        return load == null ? 0 : load.health.failedFraction();
    }

    /**
     * Forgets upstreams that are gone and have nothing under way.
     *
     * @param directory the upstreams known
     */
    public void evictUnlisted(UpstreamDirectory directory) {
        own.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().requests == 0
                                        && directory.find(entry.getKey()).isEmpty());
    }

    private Map<String, Use> own() {
        Map<String, Use> sum = new HashMap<>();
        own.forEach(
                (upstream, load) -> {
                    if (load.requests > 0) {
                        add(sum, upstream, load.requests, load.promptTokens);
                    }
                });
        return sum;
    }

    private static List<UpstreamUse> list(Map<String, Use> sum) {
        List<UpstreamUse> uses = new ArrayList<>();
        sum.forEach(
                (upstream, use) ->
                        uses.add(new UpstreamUse(upstream, use.requests, use.promptTokens)));
        return uses;
    }

    private static void count(Map<String, Use> sum, UpstreamUse use, int sign) {
        add(sum, use.upstream(), sign * use.requests(), sign * use.promptTokens());
    }

    private static void add(Map<String, Use> sum, String upstream, int requests, int promptTokens) {
        Use use = sum.computeIfAbsent(upstream, name -> new Use());
        use.add(requests, promptTokens);
        if (use.isNone()) {
            sum.remove(upstream);
        }
    }

    private Load load(String upstream) {
        return own.computeIfAbsent(upstream, name -> new Load());
    }
}
