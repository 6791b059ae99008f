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

import java.util.SplittableRandom;

/**
 * Runs seeds of the soak by hand: {@code SoakMain FIRST-SEED COUNT SECONDS}. Ends with 1 if a
 * promise was broken.
 */
public final class SoakMain {
    private static final int LEAST_PROCESSES = 2;
    private static final int MORE_PROCESSES = 4;

    private SoakMain() {}

    /**
     * Runs the seeds one after the other.
     *
     * @param args first seed, number of seeds, seconds of faults for each
     * @throws Exception if a run cannot be set up
     */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        long millis = Long.parseLong(args[2]) * 1_000;
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
            if (!result.violations().isEmpty()) {
                result.violations().stream().limit(5).forEach(v -> System.out.println("  " + v));
                System.out.println("  faults: " + result.faults());
                System.out.println("  logs: " + result.logs());
            }
        }
        System.out.printf("%d seeds, %d with violations%n", count, broken);
        System.exit(broken == 0 ? 0 : 1);
    }

    static SoakRun.Result run(long seed, int processes, long millis) throws Exception {
        try (SoakRun run = new SoakRun(seed, processes)) {
            return run.run(millis);
        }
    }

    static int processes(long seed) {
        return LEAST_PROCESSES + new SplittableRandom(seed).nextInt(MORE_PROCESSES);
    }
}
