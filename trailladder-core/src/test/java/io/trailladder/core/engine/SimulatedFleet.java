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
package io.trailladder.core.engine;

import io.trailladder.core.duty.FleetPlanner;
import io.trailladder.core.duty.UpstreamOrder;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ScalingSpec;
import io.trailladder.core.policy.ServiceShare;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.Selection;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.core.upstream.UpstreamSelector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The core's decisions on simulated engines in virtual time: one gateway chooses upstreams, learns
 * their speed, and orders as many as it believes are needed.
 */
final class SimulatedFleet {
    private static final String SERVICE = "s";
    private static final int STEP_MILLIS = 250;

    /**
     * A kind of engine and the load for it.
     *
     * @param tokensPerMilli prompt tokens it reads in a millisecond
     * @param slots requests it works on at once
     * @param tokenMillis time between two tokens of an answer, in milliseconds
     * @param perSecond requests a second
     * @param promptTokens mean prompt
     * @param answerTokens length of an answer
     * @param objectiveMillis time for the first event, in milliseconds
     * @param scaling bounds and prices
     */
    record Kind(
            double tokensPerMilli,
            int slots,
            double tokenMillis,
            double perSecond,
            int promptTokens,
            int answerTokens,
            long objectiveMillis,
            ScalingSpec scaling) {
        /** Upstreams that this load keeps wholly busy, by either measure. */
        double minUpstreams() {
            double reading = perSecond / 1_000 * promptTokens / tokensPerMilli;
            double places = perSecond / 1_000 * answerTokens * tokenMillis / slots;
            return reading + places;
        }
    }

    /** One engine: reads prompts one after the other, and answers in its places. */
    private static final class Engine {
        private final PriorityQueue<Double> slotsFreeAt = new PriorityQueue<>();
        private double readingUntil;

        double firstEventAt(Kind kind, double now, int tokens) {
            double place = now;
            if (slotsFreeAt.size() >= kind.slots()) {
                place = Math.max(now, slotsFreeAt.remove());
            }
            readingUntil = Math.max(place, readingUntil) + tokens / kind.tokensPerMilli();
            return readingUntil;
        }
    }

    /** Something that happens later. */
    private record Event(double at, Runnable task) {}

    private final Kind kind;
    private final SplittableRandom random;
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamLoads loads = new UpstreamLoads();
    private final EngineModel model = new EngineModel();
    private final DemandMeter demand = new DemandMeter();
    private final FleetPlanner planner = new FleetPlanner(SERVICE, false);
    private final UpstreamSelector selector = new UpstreamSelector("a", directory, loads, model);
    private final Map<String, Engine> engines = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparing(Event::at));
    private final Route route;
    private double now;
    private double running = -1;
    private int started;
    private int served;
    private int inTime;
    private double fleetSum;
    private int fleetCount;

    SimulatedFleet(Kind kind, List<String> dataCentres, int provided, long seed) {
        this.kind = kind;
        this.random = new SplittableRandom(seed);
        this.route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteKind.STREAMING,
                        60_000,
                        kind.objectiveMillis(),
                        0,
                        List.of(new ServiceShare(SERVICE, 1)),
                        2,
                        false,
                        true,
                        true);
        for (int i = 0; i < provided; i++) {
            add(dataCentres.get(i % dataCentres.size()), false);
        }
    }

    /** Plays some seconds; what is measured counts from the given second on. */
    void simulate(int seconds, int measuredFrom) {
        for (int step = 0; step < seconds * 1_000 / STEP_MILLIS; step++) {
            double from = step * (double) STEP_MILLIS;
            arrivals(from, from >= measuredFrom * 1_000.0);
            runUntil(from + STEP_MILLIS);
            order(from >= measuredFrom * 1_000.0);
        }
    }

    double inTimeFraction() {
        return (double) inTime / Math.max(1, served);
    }

    double meanUpstreams() {
        return fleetSum / Math.max(1, fleetCount);
    }

    double estimatedTokensPerMilli() {
        return 1 / model.estimate(SERVICE, Math.round(now)).millisPerToken();
    }

    private void arrivals(double from, boolean measured) {
        double expected = kind.perSecond() * STEP_MILLIS / 1_000;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            double at = from + random.nextDouble() * STEP_MILLIS;
            events.add(new Event(at, () -> send(measured)));
        }
    }

    private void runUntil(double end) {
        while (!events.isEmpty() && events.peek().at() < end) {
            Event next = events.remove();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    private void send(boolean measured) {
        int tokens = (int) (kind.promptTokens() * (0.2 + 1.6 * random.nextDouble()));
        Prompt prompt = new Prompt(tokens, 10, List.of(new PromptBlock("p" + started++, tokens)));
        long nowMillis = Math.round(now);
        ServingRequest request =
                new ServingRequest(
                        "id", "t", route, SERVICE, 0, prompt, 0, nowMillis, nowMillis + 60_000, 1);
        Selection choice = selector.choose(request, Set.of(), nowMillis).orElseThrow();
        String upstream = choice.upstream().id();
        Engine engine = engines.get(upstream);
        double first = engine.firstEventAt(kind, now, tokens);
        double end = first + kind.answerTokens() * kind.tokenMillis();
        engine.slotsFreeAt.add(end);
        loads.sent(upstream, tokens);
        demand.sent(SERVICE, tokens, nowMillis);
        long took = Math.round(first - now);
        events.add(new Event(first, () -> firstEvent(upstream, tokens, choice.waitingTokens(), took)));
        events.add(new Event(end, () -> ended(upstream, Math.round(end - nowMillis))));
        if (measured) {
            served++;
            inTime += took <= kind.objectiveMillis() ? 1 : 0;
        }
    }

    private void firstEvent(String upstream, int tokens, int waiting, long took) {
        loads.promptRead(upstream, tokens);
        model.firstEvent(SERVICE, tokens, waiting, took, Math.round(now));
    }

    private void ended(String upstream, long took) {
        loads.ended(upstream);
        model.ended(SERVICE, took, Math.round(now));
    }

    private void order(boolean measured) {
        long nowMillis = Math.round(now);
        int underWay = loads.requests(directory.all());
        running = running < 0 ? underWay : running + 0.06 * (underWay - running);
        Optional<FleetNeed> need = need(nowMillis);
        List<UpstreamOrder> orders =
                planner.plan(kind.scaling(), directory.all(), need, Set.of(), nowMillis);
        orders.forEach(this::carryOut);
        if (measured) {
            fleetSum += directory.serving(SERVICE).size();
            fleetCount++;
        }
    }

    private Optional<FleetNeed> need(long nowMillis) {
        EngineEstimate engine = model.estimate(SERVICE, nowMillis);
        List<ServiceDemand> demands = demand.demands(nowMillis);
        if (engine.observations() < 15 || demands.isEmpty()) {
            return Optional.empty();
        }
        ServiceDemand told = demands.get(0);
        ServiceLoad load =
                new ServiceLoad(told.tokensPerMilli(), told.squaredTokensPerMilli(), running);
        return Optional.of(
                FleetSizer.need(load, engine, kind.slots(), (double) kind.objectiveMillis()));
    }

    private void carryOut(UpstreamOrder order) {
        List<Upstream> there = new ArrayList<>();
        for (Upstream upstream : directory.serving(SERVICE)) {
            if (upstream.dataCentre().equals(order.dataCentre())
                    && upstream.reclaimable() == order.reclaimable()) {
                there.add(upstream);
            }
        }
        for (int i = there.size(); i < order.count(); i++) {
            add(order.dataCentre(), order.reclaimable());
        }
        for (int i = order.count(); i < there.size(); i++) {
            directory.removed(there.get(i).id());
        }
    }

    private void add(String dataCentre, boolean reclaimable) {
        String id = "u" + engines.size();
        engines.put(id, new Engine());
        directory.changed(
                new Upstream(id, SERVICE, dataCentre, "h:1", kind.slots(), false, reclaimable, 0));
    }
}
