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

import io.trailladder.core.engine.EngineEstimate;
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.topology.Topology;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Chooses the upstream of a service with the lowest sum of cost terms, most of it the predicted
 * time to its first answer.
 *
 * <p>The prediction counts the work under way of all entries, the part of the prompt that the
 * upstream does not hold, and the way to another data centre. A part of the product adds a reason
 * of its own as a {@link CostTerm}.
 *
 * @since 0.2
 */
public final class UpstreamSelector {
    /** Most parts of prompts whose places are remembered: some 2 MB. */
    private static final int MAX_CACHED_BLOCKS = 20_000;

    private final UpstreamAvailability availability;
    private final UpstreamLoads loads;
    private final EngineModel engines;
    private final VersionGate versions;
    private final Topology topology;
    private final CrossRegionRule crossRegionRule;
    private final CostTerms commonTerms;
    private final List<CostTerm> terms;
    private final PrefixIndex prefixes = new PrefixIndex(MAX_CACHED_BLOCKS);

    /**
     * Creates a selector of upstreams of any version.
     *
     * @param dataCentre the data centre of this entry
     * @param directory the upstreams known
     * @param loads the work under way at them
     * @param engines what is believed of their speed
     */
    public UpstreamSelector(
            String dataCentre,
            UpstreamDirectory directory,
            UpstreamLoads loads,
            EngineModel engines) {
        this(
                Topology.oneRegion(dataCentre),
                new UpstreamAvailability(directory, new UpstreamBackoffs()),
                loads,
                engines,
                new VersionGate(),
                () -> 1,
                List.of());
    }

    /**
     * Creates a selector.
     *
     * @param topology where this entry is
     * @param availability tells which upstreams take requests
     * @param loads the work under way at them
     * @param engines what is believed of their speed
     * @param versions decides which versions may be chosen
     * @param processes tells how many entries of the own region share the room of the others
     * @param further terms beside those that every gateway weighs
     */
    public UpstreamSelector(
            Topology topology,
            UpstreamAvailability availability,
            UpstreamLoads loads,
            EngineModel engines,
            VersionGate versions,
            IntSupplier processes,
            List<CostTerm> further) {
        this.versions = versions;
        this.availability = availability;
        this.loads = loads;
        this.engines = engines;
        this.topology = topology;
        this.crossRegionRule = new CrossRegionRule(topology, loads, processes);
        this.commonTerms = new CostTerms(topology, loads);
        this.terms = new ArrayList<>(commonTerms.all());
        terms.addAll(further);
    }

    /**
     * Chooses an upstream. Those left out for their failures are taken only if there is no other,
     * and those of other regions only if the own one cannot begin within the objective.
     *
     * @param request the request
     * @param excluded upstreams that must not be chosen
     * @param nowMillis the time
     * @return the choice; empty if no upstream of the service takes new work, and none in another
     *     region has a place left
     */
    public Optional<Selection> choose(
            ServingRequest request, Set<String> excluded, long nowMillis) {
        String service = request.service();
        List<Upstream> serving = accepting(request, excluded.isEmpty(), nowMillis);
        Choice round = new Choice(request, excluded, serving, engines.estimate(service, nowMillis));
        Candidate own = round.best(topology.region(), false, nowMillis);
        if (topology.isOneRegion() || (own != null && crossRegionRule.isLocalSufficient(own))) {
            return selection(own, null, serving.size());
        }
        Candidate other = round.bestRemote(own == null, nowMillis);
        if (other == null) {
            return selection(own, null, serving.size());
        }
        if (own == null || round.shouldCross(own, other)) {
            return selection(other, crossRegionRule.describe(own, other), serving.size());
        }
        return selection(own, null, serving.size());
    }

    /**
     * Versions are admitted among all that stay, so that those under test do not get the requests
     * of others that only rest or are limited. A sample that none of them takes is left to the
     * version in use.
     */
    private List<Upstream> accepting(ServingRequest request, boolean first, long nowMillis) {
        String service = request.service();
        double held = availability.reservedFraction(service, request.priority(), nowMillis);
        List<Upstream> staying = availability.notLeaving(service);
        List<Upstream> admitted = versions.admitted(service, staying, first, nowMillis);
        List<Upstream> serving = availability.acceptingNow(admitted, held, nowMillis);
        if (serving.isEmpty() && first && !admitted.isEmpty()) {
            List<Upstream> others = versions.admitted(service, staying, false, nowMillis);
            return availability.acceptingNow(others, held, nowMillis);
        }
        return serving;
    }

    /**
     * Records that a request was sent as chosen.
     *
     * @param request the request
     * @param upstream the upstream's name
     */
    public void sent(ServingRequest request, String upstream) {
        prefixes.recordPrompt(upstream, request.prompt());
    }

    /**
     * Records that no connection to an upstream came about. For a while the others of its data
     * centre are taken only if they promise much more than those elsewhere, since the way there may
     * be cut.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     */
    public void unreachable(Upstream upstream, long nowMillis) {
        commonTerms.unreachable(upstream, nowMillis);
    }

    /** One choice: the request and the upstreams that may run it. */
    private final class Choice {
        private final ServingRequest request;
        private final Set<String> excluded;
        private final List<Upstream> serving;
        private final EngineEstimate engine;

        Choice(
                ServingRequest request,
                Set<String> excluded,
                List<Upstream> serving,
                EngineEstimate engine) {
            this.request = request;
            this.excluded = excluded;
            this.serving = serving;
            this.engine = engine;
        }

        /** Returns the best upstream of a region; null if it has none, or none with room. */
        Candidate best(String region, boolean noneHere, long nowMillis) {
            PromptAffinity homes = PromptAffinity.of(request.prompt(), serving, topology, region);
            boolean own = region.equals(topology.region());
            Candidate best = null;
            double bestMillis = 0;
            boolean bestEjected = true;
            for (Upstream upstream : serving) {
                boolean there = topology.region(upstream.dataCentre()).equals(region);
                if (!there || excluded.contains(upstream.id())) {
                    continue;
                }
                Candidate candidate = candidate(upstream, request, engine, homes, nowMillis);
                if (!own && !crossRegionRule.hasCapacity(candidate, noneHere)) {
                    continue;
                }
                boolean ejected = isDeprioritized(upstream, nowMillis);
                double millis = cost(candidate);
                boolean better = best == null || millis < bestMillis;
                if ((bestEjected && !ejected) || (bestEjected == ejected && better)) {
                    best = candidate;
                    bestMillis = millis;
                    bestEjected = ejected;
                }
            }
            return best;
        }

        /** Returns the best upstream of all other regions; null if none has room. */
        Candidate bestRemote(boolean noneHere, long nowMillis) {
            Candidate best = null;
            for (String region : topology.otherRegions()) {
                Candidate there = best(region, noneHere, nowMillis);
                if (there != null && (best == null || isBetter(there, best))) {
                    best = there;
                }
            }
            return best;
        }

        boolean shouldCross(Candidate own, Candidate other) {
            return crossRegionRule.isRemoteBetter(own, other) && crossRegionRule.isWithinShare(other, serving);
        }

        private boolean isBetter(Candidate one, Candidate other) {
            long now = one.nowMillis();
            boolean ejected = isDeprioritized(one.upstream(), now);
            boolean otherEjected = isDeprioritized(other.upstream(), now);
            return ejected == otherEjected ? cost(one) < cost(other) : otherEjected;
        }
    }

    private boolean isDeprioritized(Upstream upstream, long nowMillis) {
        return loads.ejected(upstream.id(), nowMillis)
                || availability.isRecovering(upstream, nowMillis);
    }

    private Candidate candidate(
            Upstream upstream,
            ServingRequest request,
            EngineEstimate engine,
            PromptAffinity homes,
            long nowMillis) {
        Prompt prompt = request.prompt();
        int cached =
                Math.max(
                        prefixes.cachedTokens(upstream.id(), prompt),
                        homes.expectedCachedTokens(upstream, prompt));
        return new Candidate(
                upstream,
                request,
                engine,
                loads.requests(upstream.id()),
                loads.promptTokens(upstream.id()),
                cached,
                nowMillis);
    }

    private double cost(Candidate candidate) {
        double millis = 0;
        for (int i = 0; i < terms.size(); i++) {
            millis += terms.get(i).millis(candidate);
        }
        return millis;
    }

    private Optional<Selection> selection(Candidate best, CrossRegionChoice crossing, int candidates) {
        if (best == null) {
            return Optional.empty();
        }
        List<CostShare> costs = costs(best);
        double millis = 0;
        for (CostShare cost : costs) {
            millis += cost.millis();
        }
        EngineEstimate engine = best.engine();
        int slots = best.upstream().slots();
        double place = engine.isLearned() ? engine.slotWaitMillis(best.running(), slots) : 0;
        return Optional.of(
                new Selection(
                        best.upstream(),
                        millis,
                        best.running(),
                        best.waitingTokens(),
                        best.cachedTokens(),
                        candidates,
                        Math.round(place),
                        costs,
                        Optional.ofNullable(crossing)));
    }

    /** What the terms count that a choice was made by, those that count nothing left out. */
    private List<CostShare> costs(Candidate chosen) {
        List<CostShare> costs = new ArrayList<>(terms.size());
        for (CostTerm term : terms) {
            double millis = term.millis(chosen);
            if (millis != 0) {
                costs.add(new CostShare(term.name(), millis));
            }
        }
        return costs;
    }
}
