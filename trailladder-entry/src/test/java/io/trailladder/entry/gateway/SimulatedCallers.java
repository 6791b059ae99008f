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
package io.trailladder.entry.gateway;

import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Callers of one organisation in a {@link SimulatedCluster}. They send requests of different sizes
 * to processes chosen at random; refused callers come back when they were told to, some at once.
 * Units count when a request reaches an upstream, which may be more than once.
 */
final class SimulatedCallers {
    /** Maximum time that a caller goes on coming back after its first try, in milliseconds. */
    private static final long PATIENCE_MILLIS = 10_000;

    /** Share of the callers that come back at once, and how often they do. */
    private static final double IMPATIENT_SHARE = 0.1;

    private static final int IMPATIENT_RETURNS = 3;

    /** Maximum addition to the time that a caller is told, as a part of it. */
    private static final double MAX_JITTER_RATIO = 0.5;

    /** Maximum time between a failure at an upstream and the next try, in milliseconds. */
    private static final long MAX_RETRY_DELAY_MILLIS = 400;

    /**
     * Sizes of requests, drawn from a log-normal distribution.
     *
     * @param median the median, in units
     * @param spread standard deviation of the logarithm
     * @param max the maximum, in units
     */
    record Sizes(double median, double spread, double max) {
        double mean() {
            return median * StrictMath.exp(spread * spread / 2);
        }

        private double draw(SplittableRandom random) {
            double gaussian =
                    Math.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
                            * StrictMath.cos(2 * Math.PI * random.nextDouble());
            return Math.min(max, median * StrictMath.exp(spread * gaussian));
        }
    }

    /** A try that is due at a time. */
    private record Try(long atMillis, Caller caller) {}

    /** One caller's request. */
    private static final class Caller {
        private final double units;
        private final long firstMillis;
        private int immediateReturns;

        Caller(double units, long firstMillis, int immediateReturns) {
            this.units = units;
            this.firstMillis = firstMillis;
            this.immediateReturns = immediateReturns;
        }
    }

    private final SplittableRandom random;
    private final Sizes sizes;
    private final PriorityQueue<Try> returns =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    private final TreeMap<Long, Double> run = new TreeMap<>();
    private final TreeMap<Long, Integer> refused = new TreeMap<>();
    private final TreeMap<Long, Integer> served = new TreeMap<>();
    private double furtherTryRatio;

    SimulatedCallers(long seed, Sizes sizes) {
        this.random = new SplittableRandom(seed);
        this.sizes = sizes;
    }

    /** Sets the share of admitted requests that reach an upstream a second time. */
    void furtherTries(double ratio) {
        furtherTryRatio = ratio;
    }

    /** Sends the requests that are due in a step. */
    void send(
            List<SimulatedProcess> running,
            double unitsPerSecond,
            long stepMillis,
            long nowMillis) {
        if (running.isEmpty()) {
            return;
        }
        int arriving = poisson(unitsPerSecond * stepMillis / 1_000.0 / sizes.mean());
        for (int i = 0; i < arriving; i++) {
            int immediate = random.nextDouble() < IMPATIENT_SHARE ? IMPATIENT_RETURNS : 0;
            attempt(running, new Caller(sizes.draw(random), nowMillis, immediate));
        }
        while (!returns.isEmpty() && returns.peek().atMillis() <= nowMillis) {
            attempt(running, returns.poll().caller());
        }
    }

    private void attempt(List<SimulatedProcess> running, Caller caller) {
        SimulatedProcess process = running.get(random.nextInt(running.size()));
        process.request(caller.units, waitMillis -> answered(process, caller, waitMillis));
    }

    /** Handles the answer: 0 if the request is admitted, else the time to come back. */
    private void answered(SimulatedProcess process, Caller caller, long waitMillis) {
        long now = process.now();
        if (waitMillis == 0) {
            served.merge(now, 1, Integer::sum);
            runs(caller.units, now);
            if (random.nextDouble() < furtherTryRatio) {
                long delay = random.nextLong(MAX_RETRY_DELAY_MILLIS);
                process.sentAgain(caller.units);
                runs(caller.units, now + delay);
            }
            return;
        }
        refused.merge(now, 1, Integer::sum);
        long jittered = Math.round(waitMillis * (1 + MAX_JITTER_RATIO * random.nextDouble()));
        boolean immediate = caller.immediateReturns-- > 0;
        long at = now + (immediate ? 1 : jittered);
        if (at - caller.firstMillis <= PATIENCE_MILLIS) {
            returns.add(new Try(at, caller));
        }
    }

    private void runs(double units, long atMillis) {
        run.merge(atMillis, units, Double::sum);
    }

    private int poisson(double expected) {
        int count = 0;
        double product = random.nextDouble();
        double limit = StrictMath.exp(-expected);
        while (product > limit) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }

    /** Returns the most units that reached upstreams within a window of some length. */
    double fullestWindow(long windowMillis) {
        double fullest = 0;
        for (long end : run.keySet()) {
            double units =
                    run.subMap(end - windowMillis, false, end, true).values().stream()
                            .mapToDouble(part -> part)
                            .sum();
            fullest = Math.max(fullest, units);
        }
        return fullest;
    }

    /** Returns the number of refusals since a time, inclusive. */
    int refusedSince(long millis) {
        return refused.tailMap(millis, true).values().stream().mapToInt(count -> count).sum();
    }

    /** Returns the number of requests admitted since a time, inclusive. */
    int servedSince(long millis) {
        return served.tailMap(millis, true).values().stream().mapToInt(count -> count).sum();
    }
}
