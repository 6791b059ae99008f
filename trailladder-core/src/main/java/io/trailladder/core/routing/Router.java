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
package io.trailladder.core.routing;

import io.trailladder.core.membership.LocalUpstreamDirectory;
import io.trailladder.core.membership.UpstreamState;
import io.trailladder.core.routing.RoutingDecision.Candidate;
import io.trailladder.core.routing.RoutingDecision.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Chooses the upstream with the lowest predicted time to the first token, within one data centre.
 *
 * <p>Weighs a bounded number of upstreams: the prefix's homes on a hash ring, and some at random,
 * so that a decision's cost hardly grows with the number of upstreams.
 *
 * @since 0.1
 */
public final class Router {
    private static final int PREFERRED_UPSTREAMS = 3;
    private static final int RANDOM_CHOICES = 5;
    private static final int RANDOM_TRIES = 20;
    private static final int MAX_PREFIXES = 50_000;

    private final String dataCentre;
    private final LocalUpstreamDirectory directory;
    private final SplittableRandom random;
    private final PrefixLocations prefixes = new PrefixLocations(MAX_PREFIXES);
    private final Map<String, LocalUpstreamLoad> loads = new HashMap<>();
    private final Map<String, UpstreamRing> rings = new HashMap<>();
    private long ringsVersion = -1;

    /**
     * Creates a router.
     *
     * @param dataCentre the data centre it chooses in
     * @param directory the upstreams known
     * @param seed seed of its random choices
     */
    public Router(String dataCentre, LocalUpstreamDirectory directory, long seed) {
        this.dataCentre = dataCentre;
        this.directory = directory;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Chooses an upstream.
     *
     * @param query what is asked for
     * @param nowMillis the time
     * @return the choice with its reasons
     */
    public RoutingDecision choose(RoutingQuery query, long nowMillis) {
        List<Candidate> candidates = new ArrayList<>();
        Candidate best = null;
        for (String id : sample(query)) {
            Candidate candidate = evaluate(id, query, nowMillis);
            candidates.add(candidate);
            boolean eligible = candidate.reason() == Reason.SLOWER;
            if (eligible && (best == null || candidate.totalMillis() < best.totalMillis())) {
                best = candidate;
            }
        }
        if (best == null) {
            return new RoutingDecision(Optional.empty(), 0, candidates);
        }
        candidates.set(candidates.indexOf(best), chosen(best));
        return new RoutingDecision(Optional.of(best.upstream()), best.totalMillis(), candidates);
    }

    /**
     * Records that a request was sent as decided.
     *
     * @param query the request
     * @param upstream the upstream's name
     * @param nowMillis the time
     */
    public void sent(RoutingQuery query, String upstream, long nowMillis) {
        int cached = cachedTokens(query, upstream);
        load(upstream).sent(query.promptTokens() - cached, nowMillis);
        if (query.blocks() != null) {
            prefixes.sent(query.blocks(), upstream);
        }
    }

    /**
     * Returns the load of one upstream, to be told of reports and ends.
     *
     * @param upstream the upstream's name
     * @return its load
     */
    public LocalUpstreamLoad load(String upstream) {
        return loads.computeIfAbsent(upstream, id -> new LocalUpstreamLoad());
    }

    /**
     * Returns the memory of prefixes, to be told of cache events.
     *
     * @return the memory
     */
    public PrefixLocations prefixes() {
        return prefixes;
    }

    /**
     * Tells whether any upstream here could ever take the request.
     *
     * @param target the model or service
     * @return true if one serves it and is not leaving
     */
    public boolean serves(String target) {
        refreshRings();
        UpstreamRing ring = rings.get(target);
        return ring != null && ring.upstreams().stream().anyMatch(this::takesNewWork);
    }

    private Candidate evaluate(String id, RoutingQuery query, long nowMillis) {
        LocalUpstreamLoad load = load(id);
        int cached = cachedTokens(query, id);
        return new Candidate(
                id,
                load.queueMillis(query.maxTokens(), nowMillis),
                load.prefillMillis(query.promptTokens() - cached),
                cached,
                eligibility(id, load, query, nowMillis));
    }

    private Reason eligibility(String id, LocalUpstreamLoad load, RoutingQuery query, long nowMillis) {
        if (!takesNewWork(id)) {
            return Reason.LEAVING;
        }
        if (query.excluded().contains(id) || load.suspect(nowMillis)) {
            return Reason.EXCLUDED;
        }
        return load.full() ? Reason.FULL : Reason.SLOWER;
    }

    private int cachedTokens(RoutingQuery query, String upstream) {
        return query.blocks() == null ? 0 : prefixes.cachedTokens(query.blocks(), upstream);
    }

    private Set<String> sample(RoutingQuery query) {
        refreshRings();
        UpstreamRing ring = rings.get(query.target());
        Set<String> sample = new LinkedHashSet<>();
        if (ring == null) {
            return sample;
        }
        List<String> all = ring.upstreams();
        if (query.blocks() != null) {
            sample.addAll(ring.preferred(query.blocks().hash(0), PREFERRED_UPSTREAMS, this::takesNewWork));
        }
        if (all.size() <= PREFERRED_UPSTREAMS + RANDOM_CHOICES) {
            int start = random.nextInt(all.size());
            for (int i = 0; i < all.size(); i++) {
                sample.add(all.get((start + i) % all.size()));
            }
            return sample;
        }
        for (int i = 0; i < RANDOM_TRIES && sample.size() < PREFERRED_UPSTREAMS + RANDOM_CHOICES; i++) {
            String id = all.get(random.nextInt(all.size()));
            if (takesNewWork(id)) {
                sample.add(id);
            }
        }
        return sample;
    }

    private boolean takesNewWork(String id) {
        return directory.state(id).map(UpstreamState::takesNewWork).orElse(false);
    }

    /** Rings hold leaving upstreams too, so that a wave of notices rebuilds nothing. */
    private void refreshRings() {
        if (ringsVersion == directory.listVersion()) {
            return;
        }
        Map<String, List<String>> byTarget = new HashMap<>();
        for (UpstreamState state : directory.states()) {
            if (state.upstream().dataCentre().equals(dataCentre)) {
                byTarget.computeIfAbsent(state.upstream().target(), t -> new ArrayList<>())
                        .add(state.upstream().id());
            }
        }
        rings.clear();
        byTarget.forEach((target, ids) -> rings.put(target, ringOf(ids)));
        loads.keySet().removeIf(id -> directory.state(id).isEmpty());
        ringsVersion = directory.listVersion();
    }

    private static UpstreamRing ringOf(List<String> ids) {
        return new UpstreamRing(ids.stream().sorted().toList());
    }

    private static Candidate chosen(Candidate best) {
        return new Candidate(
                best.upstream(),
                best.queueMillis(),
                best.prefillMillis(),
                best.cachedTokens(),
                Reason.CHOSEN);
    }
}
