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
 * Chooses the upstream of a service with the lowest sum of cost terms, which is mainly the
 * predicted time to its first answer.
 *
 * <p>The prediction includes the work in flight of all entries, the part of the prompt that the
 * upstream has not cached, and the latency to another data centre. Other components add their own
 * criteria as {@link CostTerm}s.
 *
 * @since 0.2
 */
public final class UpstreamSelector {
    /** Maximum number of prompt blocks in the prefix index: about 2 MB. */
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
     * @param directory the known upstreams
     * @param loads the work in flight at them
     * @param engines their estimated speed
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
     * @param availability determines which upstreams accept requests
     * @param loads the work in flight at them
     * @param engines their estimated speed
     * @param versions decides which versions may be chosen
     * @param processes returns how many entries of the own region share the capacity of the other
     *     regions
     * @param additionalTerms terms in addition to those that every gateway applies
     */
    public UpstreamSelector(
            Topology topology,
            UpstreamAvailability availability,
            UpstreamLoads loads,
            EngineModel engines,
            VersionGate versions,
            IntSupplier processes,
            List<CostTerm> additionalTerms) {
        this.versions = versions;
        this.availability = availability;
        this.loads = loads;
        this.engines = engines;
        this.topology = topology;
        this.crossRegionRule = new CrossRegionRule(topology, loads, processes);
        this.commonTerms = new CostTerms(topology, loads);
        this.terms = new ArrayList<>(commonTerms.all());
        terms.addAll(additionalTerms);
    }

    /**
     * Chooses an upstream. Those ejected for their failures are chosen only if there is no other,
     * and those of other regions only if the own region cannot begin the answer within the
     * objective.
     *
     * @param request the request
     * @param excluded upstreams that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the choice; empty if no upstream of the service accepts new work, and none in another
     *     region has capacity left
     */
    public Optional<Selection> choose(
            ServingRequest request, Set<String> excluded, long nowMillis) {
        return choose(request, excluded, Optional.empty(), nowMillis);
    }

    /**
     * Chooses an upstream of one version, as {@link #choose(ServingRequest, Set, long)} does.
     *
     * @param request the request
     * @param excluded upstreams that must not be chosen
     * @param version the version of the upstream; empty if any may be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the choice; empty if no upstream of the version accepts new work
     */
    public Optional<Selection> choose(
            ServingRequest request,
            Set<String> excluded,
            Optional<String> version,
            long nowMillis) {
        String service = request.service();
        List<Upstream> serving =
                version.isPresent()
                        ? accepting(request, version.get(), nowMillis)
                        : accepting(request, excluded.isEmpty(), nowMillis);
        Choice choice =
                new Choice(request, excluded, serving, engines.estimate(service, nowMillis));
        Candidate local = choice.best(topology.region(), false, nowMillis);
        if (topology.isOneRegion() || (local != null && crossRegionRule.isLocalSufficient(local))) {
            return selection(local, null, serving.size());
        }
        Candidate remote = choice.bestRemote(local == null, nowMillis);
        if (remote == null) {
            return selection(local, null, serving.size());
        }
        if (local == null || choice.shouldCross(local, remote)) {
            return selection(remote, crossRegionRule.describe(local, remote), serving.size());
        }
        return selection(local, null, serving.size());
    }

    /**
     * Returns the upstreams that accept the request. Versions are admitted among all upstreams that
     * do not leave, so that those under test do not receive the requests of others that are only
     * backing off or limited. A sample that none of them accepts is sent to the version in use.
     */
    private List<Upstream> accepting(
            ServingRequest request, boolean isFirstAttempt, long nowMillis) {
        String service = request.service();
        double reservedFraction =
                availability.reservedFraction(service, request.priority(), nowMillis);
        List<Upstream> notLeaving = availability.notLeaving(service);
        List<Upstream> admitted = versions.admitted(service, notLeaving, isFirstAttempt, nowMillis);
        List<Upstream> serving = availability.acceptingNow(admitted, reservedFraction, nowMillis);
        if (serving.isEmpty() && isFirstAttempt && !admitted.isEmpty()) {
            List<Upstream> others = versions.admitted(service, notLeaving, false, nowMillis);
            return availability.acceptingNow(others, reservedFraction, nowMillis);
        }
        return serving;
    }

    /**
     * Returns the upstreams of one version that accept the request. Without a roll-out they include
     * a version that gets no new requests yet, since another entry may have begun the stream there.
     */
    private List<Upstream> accepting(ServingRequest request, String version, long nowMillis) {
        String service = request.service();
        List<Upstream> notLeaving = availability.notLeaving(service);
        List<Upstream> admitted =
                versions.rollout(service).isPresent()
                        ? versions.admitted(service, notLeaving, false, nowMillis)
                        : notLeaving;
        return availability.acceptingNow(
                admitted.stream().filter(upstream -> upstream.version().equals(version)).toList(),
                availability.reservedFraction(service, request.priority(), nowMillis),
                nowMillis);
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
     * Records that a connection to an upstream failed. For a while, other upstreams of its data
     * centre are chosen only if their cost is much lower than that of upstreams elsewhere, because
     * the network path to the data centre may be interrupted.
     *
     * @param upstream the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public void unreachable(Upstream upstream, long nowMillis) {
        commonTerms.unreachable(upstream, nowMillis);
    }

    /** One choice: the request and the upstreams that may serve it. */
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

        /** Returns the best upstream of a region; null if it has none, or none with capacity. */
        Candidate best(String region, boolean noLocalUpstream, long nowMillis) {
            PromptAffinity affinity =
                    PromptAffinity.of(request.prompt(), serving, topology, region);
            boolean local = region.equals(topology.region());
            Candidate best = null;
            double bestMillis = 0;
            boolean bestEjected = true;
            for (Upstream upstream : serving) {
                boolean inRegion = topology.region(upstream.dataCentre()).equals(region);
                if (!inRegion || excluded.contains(upstream.id())) {
                    continue;
                }
                Candidate candidate = candidate(upstream, request, engine, affinity, nowMillis);
                if (!local && !crossRegionRule.hasCapacity(candidate, noLocalUpstream)) {
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

        /** Returns the best upstream of all other regions; null if none has capacity. */
        Candidate bestRemote(boolean noLocalUpstream, long nowMillis) {
            Candidate best = null;
            for (String region : topology.otherRegions()) {
                Candidate candidate = best(region, noLocalUpstream, nowMillis);
                if (candidate != null && (best == null || isBetter(candidate, best))) {
                    best = candidate;
                }
            }
            return best;
        }

        boolean shouldCross(Candidate local, Candidate remote) {
            return crossRegionRule.isRemoteBetter(local, remote)
                    && crossRegionRule.isWithinShare(remote, serving);
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
            PromptAffinity affinity,
            long nowMillis) {
        Prompt prompt = request.prompt();
        int cached =
                Math.max(
                        prefixes.cachedTokens(upstream.id(), prompt),
                        affinity.expectedCachedTokens(upstream, prompt));
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

    private Optional<Selection> selection(
            Candidate best, CrossRegionChoice crossRegion, int candidates) {
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
        double slotWait = engine.isLearned() ? engine.slotWaitMillis(best.running(), slots) : 0;
        return Optional.of(
                new Selection(
                        best.upstream(),
                        millis,
                        best.running(),
                        best.waitingTokens(),
                        best.cachedTokens(),
                        candidates,
                        Math.round(slotWait),
                        costs,
                        Optional.ofNullable(crossRegion)));
    }

    /** Returns the costs that led to a choice, without terms whose cost is 0. */
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
