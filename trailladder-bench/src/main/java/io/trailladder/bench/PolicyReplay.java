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
package io.trailladder.bench;

import io.trailladder.bench.EngineModel.Served;
import io.trailladder.bench.TraceGenerator.Request;
import io.trailladder.core.routing.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.IntFunction;

/**
 * Replays traces under several routing policies in virtual time, and prints for each how many
 * engines the latency target needs and how many prompt tokens are computed.
 *
 * @since 0.1
 */
public final class PolicyReplay {
    private static final double TARGET_MILLIS = 1_200;
    private static final double REPORT_MILLIS = 2_000;
    private static final double RETRY_MILLIS = 50;
    private static final int MOST_ENGINES = 80;
    private static final int CACHE_BLOCKS = 1_500;
    private static final int SECONDS = 120;

    private PolicyReplay() {}

    /** What a replay measured. */
    record Result(double firstTokenP95, double late, double computedPerRequest) {}

    /** The end of a request at an engine. */
    private record End(double at, int engine) {}

    /** A load report on its way. */
    private record Late(double at, int engine, LoadReport report) {}

    /**
     * Compares the policies.
     *
     * @param args requests a second of the Plata-like and the CAAFC-like trace; 60 and 30 if absent
     */
    public static void main(String[] args) {
        double plata = args.length > 0 ? Double.parseDouble(args[0]) : 60;
        double caafc = args.length > 1 ? Double.parseDouble(args[1]) : 30;
        compare("plata", new TraceGenerator(20261202).plata(plata, SECONDS));
        compare("caafc", new TraceGenerator(20261202).caafc(caafc, SECONDS));
    }

    private static void compare(String name, List<Request> trace) {
        System.out.printf("%s: %d requests, seed 20261202%n", name, trace.size());
        show("round robin", trace, RoutingPolicy::roundRobin);
        show("least in flight", trace, RoutingPolicy.LeastInFlight::new);
        show("random two", trace, RoutingPolicy.RandomTwo::new);
        show("predicted", trace, RoutingPolicy.Predicted::new);
    }

    private static void show(String name, List<Request> trace, IntFunction<RoutingPolicy> policy) {
        for (int engines = 1; engines <= MOST_ENGINES; engines++) {
            Result result = replay(trace, policy.apply(engines), engines);
            if (result.firstTokenP95() <= TARGET_MILLIS) {
                System.out.printf(
                        Locale.ROOT,
                        "  %-16s engines %3d  p95 %6.0f ms  late %.3f  computed tokens a request %.0f%n",
                        name,
                        engines,
                        result.firstTokenP95(),
                        result.late(),
                        result.computedPerRequest());
                return;
            }
        }
        System.out.printf("  %-16s not met with %d engines%n", name, MOST_ENGINES);
    }

    /** Replays one trace. */
    static Result replay(List<Request> trace, RoutingPolicy policy, int engines) {
        EngineModel[] models = new EngineModel[engines];
        Arrays.setAll(models, i -> new EngineModel(CACHE_BLOCKS));
        PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::at));
        Deque<Late> reports = new ArrayDeque<>();
        List<Double> waits = new ArrayList<>();
        long computed = 0;
        double nextReport = 0;
        for (Request request : trace) {
            double now = request.atMillis();
            Optional<Integer> engine = Optional.empty();
            while (engine.isEmpty()) {
                for (; nextReport <= now; nextReport += REPORT_MILLIS) {
                    for (int i = 0; i < engines; i++) {
                        reports.add(
                                new Late(
                                        nextReport + REPORT_MILLIS,
                                        i,
                                        models[i].report(nextReport)));
                    }
                }
                deliver(policy, ends, reports, now);
                engine = policy.choose(request, now);
                now += engine.isEmpty() ? RETRY_MILLIS : 0;
                if (now - request.atMillis() > 60_000) {
                    return new Result(Double.MAX_VALUE, 1, 0);
                }
            }
            Served served =
                    models[engine.get()].serve(request.blocks(), request.answerTokens(), now);
            ends.add(new End(served.endAt(), engine.get()));
            waits.add(served.firstTokenAt() - request.atMillis());
            computed += served.computedTokens();
        }
        waits.sort(Comparator.naturalOrder());
        long late = waits.stream().filter(wait -> wait > TARGET_MILLIS).count();
        return new Result(
                waits.get((int) (waits.size() * 0.95)),
                (double) late / waits.size(),
                (double) computed / waits.size());
    }

    private static void deliver(
            RoutingPolicy policy, PriorityQueue<End> ends, Deque<Late> reports, double now) {
        while (!ends.isEmpty() && ends.peek().at() <= now) {
            policy.ended(ends.poll().engine());
        }
        while (!reports.isEmpty() && reports.peekFirst().at() <= now) {
            Late late = reports.pollFirst();
            policy.reported(late.engine(), late.report(), now);
        }
    }
}
