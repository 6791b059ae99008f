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
package io.trailladder.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.rollout.SimulatedRollout.Faults;
import io.trailladder.core.rollout.SimulatedRollout.Version;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * How many versions of each kind are completed in time, by traffic. A short run in CI; by hand with
 * {@code -Drollout.plays=1000} for narrow intervals.
 */
class RolloutPowerTest {
    private static final int RUNS = Integer.getInteger("rollout.plays", 8);
    private static final int[] PER_SECOND = {60, 115, 283};
    private static final int PROCESSES = 70;
    private static final int DURATION_MILLIS = 12_000;
    private static final int HALF_MILLIS = 6_000;
    private static final double OLD_FAILS = 0.004;
    private static final double DEVIATIONS = 1.96;

    /** What was seen of one kind of version at one rate. */
    private record Result(int completed, double maxUsed, double delayedRequests, double interruptedRequests) {}

    private static Map<String, Version> versions() {
        Map<String, Version> versions = new LinkedHashMap<>();
        versions.put("good", Version.GOOD);
        for (int percent : new int[] {1, 2, 5, 10, 30}) {
            versions.put(percent + "% fail", Version.failing(percent / 100.0));
        }
        for (double times : new double[] {1.5, 2, 4}) {
            versions.put(times + " times slower", new Version(OLD_FAILS, 1, times, 0, -1, -1));
        }
        versions.put("30% 4 times slower", new Version(OLD_FAILS, 0.3, 4, 0, -1, -1));
        versions.put("30% on one route", new Version(0.3, 0, 1, 0, -1, 1));
        versions.put("30% from half on", new Version(0.3, 0, 1, HALF_MILLIS, -1, -1));
        versions.put("30% above 3 running", new Version(0.3, 0, 1, 0, 3, -1));
        return versions;
    }

    @Example
    void completedVersionsAreCountedByFailureRateAndTraffic() {
        for (int perSecond : PER_SECOND) {
            versions().forEach((name, version) -> report(name, version, perSecond));
        }
    }

    private static void report(String name, Version version, int perSecond) {
        Result seen = simulate(version, perSecond);
        System.out.printf(
                Locale.ROOT,
                "%3d a second, %-20s %4d of %d completed (%s), %.2f of the bound, held %.0f, cut"
                        + " %.0f%n",
                perSecond,
                name,
                seen.completed(),
                RUNS,
                interval(seen.completed()),
                seen.maxUsed(),
                seen.delayedRequests(),
                seen.interruptedRequests());
        assertTrue(seen.maxUsed() <= 1, name + " broke the bound");
        if (perSecond > PER_SECOND[0] && version.fails() >= 0.3 && version.route() < 0) {
            assertEquals(0, seen.completed(), name + " completed");
        }
    }

    private static Result simulate(Version version, int perSecond) {
        int completed = 0;
        double used = 0;
        double held = 0;
        double cut = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            Faults faults = new Faults(-1, -1, 0, 0, 300);
            SimulatedRollout played =
                    new SimulatedRollout(version, faults, PROCESSES, DURATION_MILLIS, seed)
                            .run(perSecond);
            used = Math.max(used, played.exposed() / played.exposureBound());
            if (played.state() == State.COMPLETED && played.resultMillis() <= DURATION_MILLIS) {
                completed++;
                held += played.delayedRequests();
                cut += played.interruptedRequests();
            }
        }
        int counted = Math.max(1, completed);
        return new Result(completed, used, held / counted, cut / counted);
    }

    /** Where the part lies with a probability of 0.95, by Wilson's score. */
    private static String interval(int completed) {
        double rate = (double) completed / RUNS;
        double square = DEVIATIONS * DEVIATIONS / RUNS;
        double half = Math.sqrt(square * rate * (1 - rate) + square * square / 4);
        double middle = rate + square / 2;
        return String.format(
                Locale.ROOT,
                "%.3f to %.3f",
                (middle - half) / (1 + square),
                (middle + half) / (1 + square));
    }
}
