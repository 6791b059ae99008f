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
package io.trailladder.cli.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Runs seeds of the soak by hand: {@code SoakMain FIRST-SEED COUNT SECONDS [streams]}. Ends with 1
 * if a promise was broken.
 */
public final class SoakMain {
    private static final int LEAST_PROCESSES = 2;
    private static final int MORE_PROCESSES = 4;

    private static final int LEAST_STREAM_PROCESSES = 3;
    private static final int MAX_PRINTED = 5;
    private static final String STREAMS = "streams";

    private SoakMain() {}

    /**
     * Runs the seeds one after the other.
     *
     * @param args first seed, number of seeds, seconds of faults for each; {@code streams} for runs
     *     of streams at several versions
     * @throws Exception if a run cannot be set up
     */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        long millis = Long.parseLong(args[2]) * 1_000;
        int broken =
                List.of(args).contains(STREAMS)
                        ? streams(first, count, millis)
                        : all(first, count, millis);
        System.out.printf("%d seeds, %d with violations%n", count, broken);
        System.exit(broken == 0 ? 0 : 1);
    }

    private static int all(long first, int count, long millis) throws Exception {
        int broken = 0;
        for (long seed = first; seed < first + count; seed++) {
            SoakRun.Result result = run(seed, processes(seed), millis);
            broken += result.violations().isEmpty() ? 0 : 1;
            System.out.printf(
                    "seed %d: %d processes, %d asked, %d served, %d faults, %d violations%n",
                    seed,
                    processes(seed),
                    result.asked(),
                    result.served(),
                    result.faults().size(),
                    result.violations().size());
            report(result.violations(), result.faults(), result.logs());
        }
        return broken;
    }

    private static int streams(long first, int count, long millis) throws Exception {
        int broken = 0;
        for (long seed = first; seed < first + count; seed++) {
            StreamSoakRun.Result result = runStreams(seed, streamProcesses(seed), millis);
            List<String> violations = result.record().violations();
            broken += violations.isEmpty() ? 0 : 1;
            System.out.printf(
                    "seed %d: %d processes, %s, %d faults, %d violations%n",
                    seed,
                    streamProcesses(seed),
                    result.record(),
                    result.faults().size(),
                    violations.size());
            report(violations, result.faults(), result.logs());
        }
        return broken;
    }

    private static void report(List<String> violations, List<String> faults, Path logs) {
        if (!violations.isEmpty()) {
            violations.stream().limit(MAX_PRINTED).forEach(v -> System.out.println("  " + v));
            System.out.println("  faults: " + faults);
            System.out.println("  logs: " + logs);
        }
    }

    static StreamSoakRun.Result runStreams(long seed, int processes, long millis) throws Exception {
        try (StreamSoakRun run = new StreamSoakRun(seed, processes)) {
            return run.run(millis);
        }
    }

    static SoakRun.Result run(long seed, int processes, long millis) throws Exception {
        try (SoakRun run = new SoakRun(seed, processes)) {
            return run.run(millis);
        }
    }

    static int processes(long seed) {
        return LEAST_PROCESSES + new SplittableRandom(seed).nextInt(MORE_PROCESSES);
    }

    static int streamProcesses(long seed) {
        return processes(seed) + LEAST_STREAM_PROCESSES - LEAST_PROCESSES;
    }
}
