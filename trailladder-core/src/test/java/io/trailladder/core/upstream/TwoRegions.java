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

import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ServiceShare;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.topology.Topology;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates gateway processes and upstreams of one service in two regions, in virtual time.
 * Processes report their work to each other five times per second, and know nothing else about each
 * other.
 */
final class TwoRegions {
    private static final int PROCESSES_PER_REGION = 12;
    private static final long DIGEST_MILLIS = 200;
    private static final double CROSS_REGION_MILLIS = 8;
    static final int SUBJECTS = 20;
    private static final int SHARED_TOKENS = 6_300;
    private static final int OWN_TOKENS = 2_890;
    private static final String SERVICE = "s";
    private static final Map<String, String> REGIONS =
            Map.of("n1", "north", "n2", "north", "s1", "south", "s2", "south");

    private final Load load;
    private final SplittableRandom random;
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final Map<String, Engine> engines = new HashMap<>();
    private final List<Gateway> processes = new ArrayList<>();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
    private final Map<String, Count> counts = new HashMap<>();
    private final Map<String, Set<String>> readers = new HashMap<>();
    private final Map<String, String> knownRegions;
    private double now;
    private long number;

    /**
     * The service and the load on it.
     *
     * @param prompted true for a model that reads prompts
     * @param upstreamsPerRegion upstreams of each region
     * @param slots requests that each upstream processes at the same time
     * @param runMillis how long a slot is occupied, in milliseconds
     * @param tokensPerMilli how fast a prompt is read, in tokens per millisecond; 0 if there are
     *     none
     * @param objectiveMillis time for the first event or the answer, in milliseconds
     */
    record Load(
            boolean prompted,
            int upstreamsPerRegion,
            int slots,
            double runMillis,
            double tokensPerMilli,
            long objectiveMillis) {}

    /** The outcome of the requests of one region. */
    static final class Count {
        int requests;
        int inTime;
        int refused;
        int crossed;

        double fractionInTime() {
            return inTime / (double) Math.max(1, requests);
        }
    }

    private record Due(double at, long number, Runnable task) {}

    /** One upstream, which reads prompts one after another and has a number of slots. */
    private static final class Engine {
        private final PriorityQueue<Double> slotsFreeAt = new PriorityQueue<>();
        private final Set<String> cachedSubjects = new HashSet<>();
        private double readingUntil;
    }

    /** One process that accepts requests. */
    private final class Gateway {
        private final String name;
        private final String region;
        private final UpstreamLoads loads = new UpstreamLoads();
        private final EngineModel model = new EngineModel();
        private final UpstreamSelector selector;

        Gateway(String name, String dataCentre) {
            this.name = name;
            Topology topology = Topology.of(dataCentre, knownRegions);
            this.region = REGIONS.get(dataCentre);
            this.selector =
                    new UpstreamSelector(
                            topology,
                            new UpstreamAvailability(directory, new UpstreamBackoffs()),
                            loads,
                            model,
                            new VersionGate(),
                            () -> PROCESSES_PER_REGION,
                            List.of());
        }

        void reportUses() {
            List<UpstreamUse> uses = loads.ownUses();
            for (Gateway other : processes) {
                if (other != this) {
                    other.loads.setPeerUses(name, uses);
                }
            }
        }

        void serve(ServingRequest request) {
            Count count = count(region);
            count.requests++;
            Optional<Selection> chosen = selector.choose(request, Set.of(), (long) now);
            if (chosen.isEmpty()) {
                count.refused++;
                return;
            }
            Upstream upstream = chosen.get().upstream();
            boolean crosses = !REGIONS.get(upstream.dataCentre()).equals(region);
            count.crossed += crosses ? 1 : 0;
            int tokens = request.prompt().tokensIn();
            selector.sent(request, upstream.id());
            loads.sent(upstream.id(), tokens);
            run(request, upstream, crosses ? CROSS_REGION_MILLIS : 0.5, count, tokens);
        }

        private void run(
                ServingRequest request,
                Upstream upstream,
                double latencyMillis,
                Count count,
                int tokens) {
            double sent = now;
            Engine engine = engines.get(upstream.id());
            double slotFreeAt = now + latencyMillis;
            if (engine.slotsFreeAt.size() >= load.slots()) {
                slotFreeAt = Math.max(slotFreeAt, engine.slotsFreeAt.remove());
            }
            double first =
                    load.prompted() ? read(engine, upstream, request, slotFreeAt) : slotFreeAt;
            double free = first + load.runMillis();
            engine.slotsFreeAt.add(free);
            double begun = (load.prompted() ? first : free) + latencyMillis;
            double ended = free + latencyMillis;
            count.inTime += begun - sent <= load.objectiveMillis() ? 1 : 0;
            at(
                    begun,
                    () -> {
                        loads.promptRead(upstream.id(), tokens);
                        if (load.prompted()) {
                            model.firstEvent(SERVICE, tokens, 0, (long) (now - sent), (long) now);
                        }
                    });
            at(
                    ended,
                    () -> {
                        loads.ended(upstream.id());
                        model.ended(SERVICE, (long) (now - sent), (long) now);
                    });
        }
    }

    TwoRegions(Load load, long seed) {
        this(load, seed, REGIONS);
    }

    /** Creates regions whose processes know the regions of a table. */
    TwoRegions(Load load, long seed, Map<String, String> known) {
        this.knownRegions = known;
        this.load = load;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < 2 * load.upstreamsPerRegion(); i++) {
            String id = "w" + i;
            String dataCentre = dataCentre(i);
            directory.changed(
                    new Upstream(id, SERVICE, dataCentre, "h:1", load.slots(), false, false, 0));
            engines.put(id, new Engine());
        }
        for (int i = 0; i < 2 * PROCESSES_PER_REGION; i++) {
            Gateway process = new Gateway("p" + i, dataCentre(i));
            processes.add(process);
            at(i * 7.0, () -> reportPeriodically(process));
        }
    }

    /** Makes a region's upstreams leave. */
    void removeUpstreams(String region) {
        for (Upstream upstream : directory.all()) {
            if (REGIONS.get(upstream.dataCentre()).equals(region)) {
                directory.leaving(new LeavingUpstream(upstream.id(), 0));
            }
        }
    }

    Count count(String region) {
        return counts.computeIfAbsent(region, name -> new Count());
    }

    /**
     * Returns how many times shared blocks were read by an upstream that did not have them cached.
     */
    int sharedReads() {
        return readers.values().stream().mapToInt(Set::size).sum();
    }

    /** Generates requests in both regions for some time; resets the counts first. */
    void run(long millis, double northPerSecond, double southPerSecond) {
        counts.clear();
        double end = now + millis;
        scheduleArrivals("north", northPerSecond, end);
        scheduleArrivals("south", southPerSecond, end);
        while (!due.isEmpty() && due.peek().at() < end) {
            Due next = due.remove();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    private void scheduleArrivals(String region, double requestsPerSecond, double end) {
        double at = now - StrictMath.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
        while (at < end) {
            List<Gateway> there =
                    processes.stream().filter(process -> process.region.equals(region)).toList();
            Gateway process = there.get(random.nextInt(there.size()));
            double accepted = at;
            at(accepted, () -> process.serve(request((long) accepted)));
            at -= StrictMath.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
        }
    }

    private void reportPeriodically(Gateway process) {
        process.reportUses();
        at(now + DIGEST_MILLIS, () -> reportPeriodically(process));
    }

    private double read(
            Engine engine, Upstream upstream, ServingRequest request, double slotFreeAt) {
        String subject = request.prompt().sharedBlockId();
        int tokens = OWN_TOKENS;
        if (engine.cachedSubjects.add(subject)) {
            tokens += SHARED_TOKENS;
            readers.computeIfAbsent(subject, key -> new HashSet<>()).add(upstream.id());
        }
        engine.readingUntil =
                Math.max(slotFreeAt, engine.readingUntil) + tokens / load.tokensPerMilli();
        return engine.readingUntil;
    }

    private void at(double time, Runnable task) {
        due.add(new Due(time, number++, task));
    }

    private static String dataCentre(int i) {
        return List.of("n1", "s1", "n2", "s2").get(i % 4);
    }

    private ServingRequest request(long accepted) {
        RouteKind kind = load.prompted() ? RouteKind.STREAMING : RouteKind.SAFE;
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        kind,
                        6_000,
                        load.objectiveMillis(),
                        0,
                        List.of(new ServiceShare(SERVICE, 1)),
                        2,
                        false,
                        true,
                        true);
        String id = "id" + number++;
        Prompt prompt = load.prompted() ? prompt(id) : Prompt.NONE;
        return new ServingRequest(
                id, "t", route, SERVICE, 0, prompt, 4_000, accepted, accepted + 6_000, 1);
    }

    private Prompt prompt(String id) {
        List<PromptBlock> blocks =
                List.of(
                        new PromptBlock("subject" + random.nextInt(SUBJECTS), SHARED_TOKENS),
                        new PromptBlock(id, OWN_TOKENS));
        return new Prompt(SHARED_TOKENS + OWN_TOKENS, 50, blocks);
    }
}
