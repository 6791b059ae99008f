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
package io.trailladder.entry;

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.routing.LoadReport;
import io.trailladder.entry.serve.EngineApi;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** An engine shared by all simulated entries; it generates one token every few milliseconds. */
final class SimulatedEngine {
    static final int TOKEN_MILLIS = 5;

    private final VirtualClock clock;
    private final List<Run> runs = new ArrayList<>();

    /** One generation, started by an entry. */
    static final class Run {
        final String entry;
        final String requestId;
        final int resumedFrom;
        final long startedMillis;
        boolean over;

        Run(String entry, String requestId, int resumedFrom, long beganMillis) {
            this.entry = entry;
            this.requestId = requestId;
            this.resumedFrom = resumedFrom;
            this.startedMillis = beganMillis;
        }

        @Override
        public String toString() {
            return entry
                    + " from "
                    + resumedFrom
                    + " at "
                    + startedMillis
                    + (over ? "" : " (runs)");
        }
    }

    SimulatedEngine(VirtualClock clock) {
        this.clock = clock;
    }

    static String token(int position) {
        return "t" + position + " ";
    }

    static String answer(int tokens) {
        return IntStream.range(0, tokens)
                .mapToObj(SimulatedEngine::token)
                .collect(Collectors.joining());
    }

    /** Returns all generations in the order of their start. */
    List<Run> runs() {
        return runs;
    }

    List<Run> runsOf(String entry) {
        return runs.stream().filter(run -> run.entry.equals(entry)).toList();
    }

    /** Returns the entries that have a generation running. */
    List<String> activeEntries() {
        return runs.stream().filter(run -> !run.over).map(run -> run.entry).distinct().toList();
    }

    /** Ends all generations of a lost entry. */
    void lost(String entry) {
        runsOf(entry).forEach(run -> run.over = true);
    }

    /** Returns the engine as one entry reaches it. */
    EngineApi viewFor(String entry, VirtualTimer timer) {
        return new EntryView(entry, timer);
    }

    private final class EntryView implements EngineApi {
        private final String entry;
        private final VirtualTimer timer;

        EntryView(String entry, VirtualTimer timer) {
            this.entry = entry;
            this.timer = timer;
        }

        @Override
        public RunningAttempt generate(LocalUpstream engine, Attempt attempt, Listener listener) {
            int from = attempt.resume().size();
            Run run = new Run(entry, attempt.requestId(), from, clock.millis());
            runs.add(run);
            clock.after(TOKEN_MILLIS, () -> step(run, attempt, listener, from));
            return () -> run.over = true;
        }

        private void step(Run run, Attempt attempt, Listener listener, int position) {
            if (run.over) {
                return;
            }
            if (position >= attempt.maxTokens()) {
                run.over = true;
                timer.run(() -> listener.ended(run.requestId, attempt.attempt(), position));
                return;
            }
            timer.run(
                    () ->
                            listener.token(
                                    run.requestId, attempt.attempt(), position, token(position)));
            clock.after(TOKEN_MILLIS, () -> step(run, attempt, listener, position + 1));
        }

        @Override
        public CompletableFuture<String> export(
                LocalUpstream engine, String requestId, int attempt, long timeoutMillis) {
            return CompletableFuture.completedFuture("");
        }

        @Override
        public CompletableFuture<LoadReport> load(LocalUpstream engine) {
            return CompletableFuture.completedFuture(new LoadReport(0, 64, 0, 0, 100_000, 5));
        }
    }
}
