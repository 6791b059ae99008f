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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntSupplier;

/**
 * Requests to one service through the processes of a {@link SimulatedCluster}, each of which fails
 * once. Processes lose what they know of earlier retries when they end.
 */
final class SimulatedRetries {
    /** Length of the windows over which retries are counted, in milliseconds. */
    static final long WINDOW_MILLIS = 10_000;

    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 52;
    private static final String SERVICE = "s";
    private static final long MAX_ATTEMPT_MILLIS = 100;
    private static final long MAX_CONNECT_MILLIS = 200;
    private static final GatewaySettings.Retries SETTINGS =
            new GatewaySettings.Retries(RATIO, ALLOWANCE, WINDOW_MILLIS);

    private final SimulatedCluster cluster;
    private final double perSecond;
    private final SplittableRandom random = new SplittableRandom(20261203);
    private final Map<String, Life> lives = new HashMap<>();
    private final NavigableMap<Long, Integer> requests = new TreeMap<>();
    private final NavigableMap<Long, Integer> retries = new TreeMap<>();
    private long stepMillis;
    private double fractionalRequests;
    private int nextProcess;
    private boolean failing;

    /** How a process ends. */
    enum Kill {
        /** Its peers notice that their links close. */
        KILL,
        /** Its peers notice nothing. */
        POWER
    }

    /** An attempt that fails, or whose connection is open, at a time. */
    private record Attempt(long atMillis, RetryCharge charge) {}

    /** The budgets and the attempts in progress of a process from its start to its end. */
    private static final class Life {
        private final RetryBudgets budgets;
        private final List<Attempt> failures = new ArrayList<>();
        private final List<Attempt> connecting = new ArrayList<>();

        Life(RetryBudgets budgets) {
            this.budgets = budgets;
        }
    }

    /** Starts to send requests, at a steady total rate, to all processes of a cluster in turn. */
    SimulatedRetries(SimulatedCluster cluster, double perSecond) {
        this.cluster = cluster;
        this.perSecond = perSecond;
        this.stepMillis = cluster.now();
        cluster.names().forEach(name -> begin(name, true));
        cluster.onStep(this::step);
    }

    /** Has all first attempts fail from now on. */
    void begin() {
        failing = true;
    }

    /** Ends processes at once and starts them again some time later. */
    void restart(List<String> names, long downMillis) {
        restart(names, downMillis, Kill.KILL);
    }

    /** Ends processes at once and starts them again some time later. */
    void restart(List<String> names, long downMillis, Kill how) {
        for (String name : names) {
            if (how == Kill.KILL) {
                cluster.kill(name);
            } else {
                cluster.losePower(name);
            }
            lives.remove(name);
        }
        cluster.advance(downMillis);
        for (String name : names) {
            cluster.restart(name);
            begin(name, false);
        }
    }

    private void begin(String name, boolean firstStart) {
        ClusterView view = cluster.process(name).view();
        IntSupplier processes = firstStart ? view::listedSharing : view::settledSharing;
        lives.put(name, new Life(new RetryBudgets(SETTINGS, processes, cluster.now(), firstStart)));
    }

    private void step() {
        long now = cluster.now();
        List<String> running =
                cluster.names().stream()
                        .filter(name -> cluster.process(name).isRunning())
                        .filter(lives::containsKey)
                        .toList();
        fractionalRequests += perSecond * (now - stepMillis) / 1_000.0;
        stepMillis = now;
        while (fractionalRequests >= 1) {
            fractionalRequests--;
            if (!running.isEmpty()) {
                nextProcess = (nextProcess + 1) % running.size();
                request(lives.get(running.get(nextProcess)), now);
            }
        }
        running.forEach(name -> progress(lives.get(name), now));
    }

    private void request(Life life, long now) {
        requests.merge(now, 1, Integer::sum);
        life.budgets.requested(SERVICE, now);
        if (failing) {
            RetryCharge charge = new RetryCharge(life.budgets, SERVICE);
            charge.sent(now);
            life.failures.add(new Attempt(now + random.nextLong(MAX_ATTEMPT_MILLIS), charge));
        }
    }

    /** Asks for retries of the attempts that have failed, and sends those that are connected. */
    private void progress(Life life, long now) {
        for (Attempt failure : List.copyOf(life.failures)) {
            if (failure.atMillis() <= now) {
                life.failures.remove(failure);
                if (failure.charge().allowsAnother(now)) {
                    long connectedMillis = now + random.nextLong(MAX_CONNECT_MILLIS);
                    life.connecting.add(new Attempt(connectedMillis, failure.charge()));
                }
            }
        }
        for (Attempt connected : List.copyOf(life.connecting)) {
            if (connected.atMillis() <= now) {
                life.connecting.remove(connected);
                connected.charge().sent(now);
                retries.merge(now, 1, Integer::sum);
            }
        }
    }

    /**
     * Returns the retries of the fullest window, as a share of those that are allowed: by the
     * requests of that window, of the one before it or of the one half a window before it, and the
     * allowance. Requests that no process received are not counted.
     */
    double fullestWindowShare() {
        double fullest = 0;
        for (long end : retries.keySet()) {
            int earned =
                    Math.max(
                            sum(requests, end),
                            Math.max(
                                    sum(requests, end - WINDOW_MILLIS),
                                    sum(requests, end - WINDOW_MILLIS / 2)));
            fullest = Math.max(fullest, sum(retries, end) / (RATIO * earned + ALLOWANCE));
        }
        return fullest;
    }

    private static int sum(NavigableMap<Long, Integer> counts, long end) {
        return counts.subMap(end - WINDOW_MILLIS, false, end, true).values().stream()
                .mapToInt(count -> count)
                .sum();
    }
}
