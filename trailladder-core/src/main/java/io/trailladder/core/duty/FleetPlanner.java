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
package io.trailladder.core.duty;

import io.trailladder.core.engine.FleetNeed;
import io.trailladder.core.policy.ScalingSpec;
import io.trailladder.core.worker.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides how many upstreams of a service each data centre is to have, and of which kind.
 *
 * <p>Reclaimable upstreams carry the load, in equal parts in every data centre, so that the loss of
 * all of one leaves as many as the load needs. Upstreams at the full price are added only while
 * others are short, or would be after one more loss. Numbers grow soon and shrink late, so that
 * they do not swing with the load. A planner that takes a running system over begins with what
 * serves, and gives nothing back before it has measured the load for {@link #MEASURED_MILLIS}.
 *
 * @since 0.2
 */
public final class FleetPlanner {
    /**
     * How long the load must have been known before a planner that takes over shrinks a fleet, in
     * milliseconds: some of the time over which the load is smoothed, so that a load that is still
     * being summed up is not taken for a small one.
     */
    public static final long MEASURED_MILLIS = 8_000;

    /**
     * Reclaimable upstreams ordered for each that the operator provided, before any load is known:
     * a data centre of three may be lost at once.
     */
    private static final double PROVISION_FACTOR = 1.5;

    /** Upstreams that are to be left after a loss while no load is known. */
    private static final double LEAST_WITHOUT_LOAD = 2;

    /** How long more must be wanted before reclaimable upstreams grow: as long as one boots. */
    private static final long GROW_AFTER_MILLIS = 4_000;

    /** How long fewer must be wanted before they shrink; half of it measured no better. */
    private static final long SHRINK_AFTER_MILLIS = 20_000;

    /**
     * How long upstreams at the full price stay when they are no longer wanted: a swing of load.
     */
    private static final long RELEASE_AFTER_MILLIS = 2_000;

    private final String service;
    private final boolean takesOver;
    private final Map<String, Integer> zones = new TreeMap<>();
    private final Set<String> provided = new HashSet<>();
    private final Hysteresis perZone = new Hysteresis(GROW_AFTER_MILLIS, SHRINK_AFTER_MILLIS);
    private final Hysteresis fullPrice = new Hysteresis(0, RELEASE_AFTER_MILLIS);
    private long knownSinceMillis = -1;

    /** A number that follows another one only after that has differed for some time. */
    private static final class Hysteresis {
        private final long growAfterMillis;
        private final long shrinkAfterMillis;
        private int value = -1;
        private long sameOrAboveMillis;
        private long sameOrBelowMillis;

        Hysteresis(long growAfterMillis, long shrinkAfterMillis) {
            this.growAfterMillis = growAfterMillis;
            this.shrinkAfterMillis = shrinkAfterMillis;
        }

        int follow(int wanted, long nowMillis) {
            if (value < 0) {
                set(wanted, nowMillis);
            }
            if (wanted >= value) {
                sameOrAboveMillis = nowMillis;
            }
            if (wanted <= value) {
                sameOrBelowMillis = nowMillis;
            }
            if (wanted > value && nowMillis - sameOrBelowMillis >= growAfterMillis) {
                set(growAfterMillis == 0 ? wanted : value + 1, nowMillis);
            } else if (wanted < value && nowMillis - sameOrAboveMillis >= shrinkAfterMillis) {
                set(growAfterMillis == 0 ? wanted : value - 1, nowMillis);
            }
            return value;
        }

        void atLeast(int least) {
            value = Math.max(value, least);
        }

        /** Keeps the number from shrinking now, and raises it to a least one. */
        void hold(int least, long nowMillis) {
            atLeast(least);
            sameOrAboveMillis = nowMillis;
        }

        private void set(int changed, long nowMillis) {
            value = changed;
            sameOrAboveMillis = nowMillis;
            sameOrBelowMillis = nowMillis;
        }
    }

    /**
     * Creates a planner.
     *
     * @param service the service it plans for
     * @param takesOver true if others may have ordered upstreams before this process started
     */
    public FleetPlanner(String service, boolean takesOver) {
        this.service = service;
        this.takesOver = takesOver;
    }

    /**
     * Plans.
     *
     * @param scaling bounds and prices
     * @param workers the service's upstreams, leaving ones too
     * @param need how many upstreams the load needs; empty if no load is known
     * @param nowMillis the time
     * @return an order for both kinds in every data centre
     */
    public List<WorkerOrder> plan(
            ScalingSpec scaling,
            Collection<Worker> workers,
            Optional<FleetNeed> need,
            long nowMillis) {
        List<Worker> serving = workers.stream().filter(worker -> !worker.draining()).toList();
        workers.forEach(worker -> zones.putIfAbsent(worker.zone(), 0));
        if (need.isEmpty()) {
            learnProvided(serving);
        }
        int wantedFull = wantedFullPrice(scaling, serving, need);
        if (takesOver && !isMeasured(need.isPresent(), nowMillis)) {
            perZone.hold(mostInOneZone(serving), nowMillis);
            wantedFull = count(serving, false);
        }
        int target = perZone.follow(wantedPerZone(scaling, need), nowMillis);
        int full = fullPrice.follow(wantedFull, nowMillis);
        Map<String, Integer> fullByZone = spread(scaling, serving, full);
        List<WorkerOrder> orders = new ArrayList<>();
        for (String zone : zones.keySet()) {
            orders.add(new WorkerOrder(service, zone, true, target));
            orders.add(new WorkerOrder(service, zone, false, fullByZone.get(zone)));
        }
        return orders;
    }

    private boolean isMeasured(boolean known, long nowMillis) {
        if (knownSinceMillis < 0 && known) {
            knownSinceMillis = nowMillis;
        }
        return knownSinceMillis >= 0 && nowMillis - knownSinceMillis >= MEASURED_MILLIS;
    }

    /**
     * Before any load is known, the operator's own provision is the best guess of what is needed.
     */
    private void learnProvided(List<Worker> serving) {
        serving.stream()
                .filter(worker -> !worker.reclaimable())
                .forEach(worker -> provided.add(worker.id()));
        perZone.atLeast(providedPerZone());
    }

    private int providedPerZone() {
        return ceil(PROVISION_FACTOR * provided.size() / Math.max(1, zones.size()));
    }

    private int wantedPerZone(ScalingSpec scaling, Optional<FleetNeed> need) {
        int others = Math.max(1, zones.size() - 1);
        int wanted =
                need.map(known -> ceil(known.comfortable() / others))
                        .orElseGet(() -> Math.max(perZone.value, providedPerZone()));
        return Math.max(Math.max(1, scaling.min()), Math.min(scaling.max(), wanted));
    }

    /** Full-price upstreams that make up for reclaimable ones that are not there. */
    private int wantedFullPrice(
            ScalingSpec scaling, List<Worker> serving, Optional<FleetNeed> need) {
        int reclaimable = count(serving, true);
        int now = ceil(need.map(FleetNeed::comfortable).orElse(0.0)) - reclaimable;
        int least = ceil(need.map(FleetNeed::tight).orElse(LEAST_WITHOUT_LOAD));
        int afterLoss = least - (reclaimable - mostInOneZone(serving));
        int most = scaling.max() * zones.size();
        return Math.max(0, Math.min(most, Math.max(now, afterLoss)));
    }

    /** Spreads full-price upstreams: where such ones are, then where they cost least. */
    private Map<String, Integer> spread(ScalingSpec scaling, List<Worker> serving, int full) {
        Map<String, Integer> byZone = new TreeMap<>(zones);
        Comparator<String> order =
                Comparator.<String>comparingInt(zone -> -count(serving, zone, false))
                        .thenComparingDouble(zone -> scaling.zonePrices().getOrDefault(zone, 1.0));
        List<String> sorted = zones.keySet().stream().sorted(order).toList();
        int left = full;
        while (left > 0) {
            int before = left;
            for (String zone : sorted) {
                if (left > 0 && byZone.get(zone) < scaling.max()) {
                    byZone.merge(zone, 1, Integer::sum);
                    left--;
                }
            }
            if (left == before) {
                break;
            }
        }
        return byZone;
    }

    private static int ceil(double value) {
        return (int) Math.ceil(value);
    }

    private int mostInOneZone(List<Worker> serving) {
        return zones.keySet().stream().mapToInt(zone -> count(serving, zone, true)).max().orElse(0);
    }

    private static int count(List<Worker> serving, boolean reclaimable) {
        return (int) serving.stream().filter(worker -> worker.reclaimable() == reclaimable).count();
    }

    private static int count(List<Worker> serving, String zone, boolean reclaimable) {
        return (int)
                serving.stream()
                        .filter(worker -> worker.zone().equals(zone))
                        .filter(worker -> worker.reclaimable() == reclaimable)
                        .count();
    }
}
