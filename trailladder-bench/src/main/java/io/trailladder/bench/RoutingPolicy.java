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

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.membership.LocalUpstreamDirectory;
import io.trailladder.core.routing.LoadReport;
import io.trailladder.core.routing.Router;
import io.trailladder.core.routing.RoutingQuery;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * A way to choose engines, to be compared in one replay.
 *
 * @since 0.1
 */
interface RoutingPolicy {
    /** Chooses an engine by its number; empty if none can take the request now. */
    Optional<Integer> choose(TraceGenerator.Request request, double now);

    /** Is told that a request ended. */
    default void ended(int engine) {}

    /** Is told of a late load report. */
    default void reported(int engine, LoadReport report, double now) {}

    /** Takes engines in turn. */
    static RoutingPolicy roundRobin(int engines) {
        int[] next = {0};
        return (request, now) -> Optional.of(next[0]++ % engines);
    }

    /** Takes the engine with the fewest requests in flight. */
    final class LeastInFlight implements RoutingPolicy {
        private final int[] inFlight;

        LeastInFlight(int engines) {
            inFlight = new int[engines];
        }

        @Override
        public Optional<Integer> choose(TraceGenerator.Request request, double now) {
            int best = 0;
            for (int i = 1; i < inFlight.length; i++) {
                best = inFlight[i] < inFlight[best] ? i : best;
            }
            inFlight[best]++;
            return Optional.of(best);
        }

        @Override
        public void ended(int engine) {
            inFlight[engine]--;
        }
    }

    /** Takes the less busy of two engines drawn at random. */
    final class RandomTwo implements RoutingPolicy {
        private final int[] inFlight;
        private final Random random = new Random(7);

        RandomTwo(int engines) {
            inFlight = new int[engines];
        }

        @Override
        public Optional<Integer> choose(TraceGenerator.Request request, double now) {
            int a = random.nextInt(inFlight.length);
            int b = random.nextInt(inFlight.length);
            int best = inFlight[a] <= inFlight[b] ? a : b;
            inFlight[best]++;
            return Optional.of(best);
        }

        @Override
        public void ended(int engine) {
            inFlight[engine]--;
        }
    }

    /** Asks the product's router. */
    final class Predicted implements RoutingPolicy {
        private final Router router;

        Predicted(int engines) {
            LocalUpstreamDirectory directory = new LocalUpstreamDirectory();
            List<LocalUpstream> upstreams = new ArrayList<>();
            for (int i = 0; i < engines; i++) {
                upstreams.add(new LocalUpstream("e" + i, "baires-a", "", "modelo"));
            }
            directory.listed(upstreams, List.of());
            router = new Router("baires-a", directory, 7);
        }

        @Override
        public Optional<Integer> choose(TraceGenerator.Request request, double now) {
            RoutingQuery query =
                    new RoutingQuery("modelo", request.blocks(), request.answerTokens(), Set.of());
            Optional<String> chosen = router.choose(query, (long) now).chosen();
            chosen.ifPresent(id -> router.sent(query, id, (long) now));
            return chosen.map(id -> Integer.parseInt(id.substring(1)));
        }

        @Override
        public void ended(int engine) {
            router.load("e" + engine).ended();
        }

        @Override
        public void reported(int engine, LoadReport report, double now) {
            router.load("e" + engine).reported(report, (long) now);
        }
    }
}
