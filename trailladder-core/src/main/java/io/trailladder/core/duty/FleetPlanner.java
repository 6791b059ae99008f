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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides how many upstreams of a service each data centre is to have, and of which kind.
 *
 * <p>Reclaimable upstreams carry the load, in equal parts in every data centre: as many as it needs
 * in comfort, and so many that the loss of all of one data centre leaves as many as serve it with a
 * margin. Upstreams at the full price only bridge the time in which reclaimable ones cannot be had.
 * Numbers grow soon and shrink late, so that they do not swing with the load. A planner that takes
 * a running system over begins with what serves, and gives nothing back before it has measured the
 * load for {@link #MEASURED_MILLIS}.
 *
 * @since 0.2
 */
public final class FleetPlanner {
    /**
     * How long the load must have been known before a planner that takes over, or began with a
     * guess, shrinks a fleet, in milliseconds: some of the time over which the load is smoothed, so
     * that a load that is still being summed up is not taken for a small one.
     */
    public static final long MEASURED_MILLIS = 8_000;

    /**
     * Reclaimable upstreams ordered for each that the operator provided, before any load is known:
     * a data centre of three may be lost at once.
     */
    private static final double PROVISION_FACTOR = 1.5;

    /**
     * Part of a guessed number that stays when the load has been measured for the first time: a
     * load that swings may just be at its lowest.
     */
    private static final double LEAST_OF_GUESS = 0.5;

    /** Upstreams that are to be left after a loss while no load is known. */
    private static final double LEAST_WITHOUT_LOAD = 2;

    /**
     * How long more must be wanted before reclaimable upstreams grow, in milliseconds: longer than
     * a clump of arrivals.
     */
    private static final long GROW_AFTER_MILLIS = 1_500;

    /** How long fewer must be wanted before they shrink; half of it measured no better. */
    private static final long SHRINK_AFTER_MILLIS = 20_000;

    /**
     * Time beyond the boot within which reclaimable upstreams that were ordered should serve, in
     * milliseconds: until then nothing is bought in their place.
     */
    private static final long LATE_MILLIS = 1_500;

    /**
     * How long upstreams at the full price stay when they are no longer wanted: a swing of load.
     */
    private static final long RELEASE_AFTER_MILLIS = 2_000;

    private final String service;
    private final boolean takesOver;
    private final Map<String, Integer> zones = new TreeMap<>();
    private final Set<String> provided = new HashSet<>();
    private final FullPricePlacement placement = new FullPricePlacement();
    private final Map<String, Long> shortSinceMillis = new TreeMap<>();
    private final FollowedNumber perZone =
            new FollowedNumber(GROW_AFTER_MILLIS, SHRINK_AFTER_MILLIS);
    private final FollowedNumber fullPrice = new FollowedNumber(0, RELEASE_AFTER_MILLIS);
    private long knownSinceMillis = -1;
    private boolean guessed;
    private int mostWanted;

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
     * @param declined data centres where reclaimable upstreams could not be had lately
     * @param nowMillis the time
     * @return an order for both kinds in every data centre
     */
    public List<WorkerOrder> plan(
            ScalingSpec scaling,
            Collection<Worker> workers,
            Optional<FleetNeed> need,
            Set<String> declined,
            long nowMillis) {
        List<Worker> serving = workers.stream().filter(worker -> !worker.draining()).toList();
        workers.forEach(worker -> zones.putIfAbsent(worker.zone(), 0));
        if (need.isEmpty()) {
            learnProvided(serving);
        }
        boolean holds = takesOver && !isMeasured(need.isPresent(), nowMillis);
        if (holds) {
            perZone.hold(mostInOneZone(serving), nowMillis);
        }
        int target = target(wantedPerZone(scaling, need), need.isPresent(), nowMillis);
        Map<String, Integer> reclaimable = reclaimable(scaling, serving, need, declined, target);
        int coming = coming(scaling, serving, reclaimable, declined, nowMillis);
        int wantedFull =
                holds ? count(serving, false) : wantedFullPrice(scaling, serving, need, coming);
        int full = fullPrice.follow(wantedFull, nowMillis);
        Map<String, Integer> fullByZone =
                placement.place(full, scaling, room(scaling, serving, reclaimable, declined));
        List<WorkerOrder> orders = new ArrayList<>();
        for (String zone : zones.keySet()) {
            orders.add(new WorkerOrder(service, zone, true, reclaimable.get(zone)));
            orders.add(new WorkerOrder(service, zone, false, fullByZone.get(zone)));
        }
        return orders;
    }

    /**
     * Follows what is wanted. A number that was guessed from the operator's provision is replaced
     * by the most that was wanted once the load has been known for {@link #MEASURED_MILLIS}.
     */
    private int target(int wanted, boolean known, long nowMillis) {
        if (guessed && known) {
            mostWanted = Math.max(mostWanted, wanted);
            if (isMeasured(true, nowMillis)) {
                guessed = false;
                perZone.set(Math.max(mostWanted, ceil(LEAST_OF_GUESS * perZone.value())));
            }
        }
        return perZone.follow(wanted, nowMillis);
    }

    /** What data centres decline is ordered in the others, in the same step. */
    private Map<String, Integer> reclaimable(
            ScalingSpec scaling,
            List<Worker> serving,
            Optional<FleetNeed> need,
            Set<String> declined,
            int target) {
        Map<String, Integer> byZone = new TreeMap<>();
        zones.keySet().forEach(zone -> byZone.put(zone, target));
        List<String> open = zones.keySet().stream().filter(z -> !declined.contains(z)).toList();
        if (open.isEmpty() || open.size() == zones.size() || need.isEmpty()) {
            return byZone;
        }
        int there = 0;
        for (String zone : zones.keySet()) {
            there += open.contains(zone) ? 0 : count(serving, zone, true);
        }
        int each = ceil((need.get().comfortable() - there) / open.size());
        int bounded = Math.max(target, Math.min(scaling.max(), each));
        open.forEach(zone -> byZone.put(zone, bounded));
        return byZone;
    }

    /** Reclaimable upstreams that were ordered and should serve soon. */
    private int coming(
            ScalingSpec scaling,
            List<Worker> serving,
            Map<String, Integer> ordered,
            Set<String> declined,
            long nowMillis) {
        int coming = 0;
        for (String zone : zones.keySet()) {
            int missing = ordered.get(zone) - count(serving, zone, true);
            if (missing <= 0 || declined.contains(zone)) {
                shortSinceMillis.remove(zone);
                continue;
            }
            long since = shortSinceMillis.computeIfAbsent(zone, name -> nowMillis);
            coming += nowMillis - since <= scaling.bootMillis() + LATE_MILLIS ? missing : 0;
        }
        return coming;
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
        if (providedPerZone() > 0 && knownSinceMillis < 0) {
            perZone.atLeast(providedPerZone());
            guessed = !takesOver;
        }
    }

    private int providedPerZone() {
        return ceil(PROVISION_FACTOR * provided.size() / Math.max(1, zones.size()));
    }

    private int wantedPerZone(ScalingSpec scaling, Optional<FleetNeed> need) {
        int all = Math.max(1, zones.size());
        int others = Math.max(1, all - 1);
        int wanted =
                need.map(
                                known ->
                                        Math.max(
                                                ceil(known.comfortable() / all),
                                                ceil(known.staffed() / others)))
                        .orElseGet(() -> Math.max(perZone.value(), providedPerZone()));
        return Math.max(Math.max(1, scaling.min()), Math.min(scaling.max(), wanted));
    }

    /**
     * Full-price upstreams that make up for reclaimable ones that cannot be had, and for the loss
     * of one more data centre: waves come some seconds apart, and the last one would leave nothing.
     */
    private int wantedFullPrice(
            ScalingSpec scaling, List<Worker> serving, Optional<FleetNeed> need, int coming) {
        int reclaimable = count(serving, true);
        int most = scaling.max() * zones.size();
        int least = ceil(need.map(FleetNeed::tight).orElse(LEAST_WITHOUT_LOAD));
        int afterLoss = least - (reclaimable - mostInOneZone(serving));
        int bridged = need.map(known -> ceil(known.staffed()) - reclaimable - coming).orElse(0);
        return Math.max(0, Math.min(most, Math.max(bridged, afterLoss)));
    }

    /** How many at the full price each data centre can have beside its reclaimable ones. */
    private Map<String, Integer> room(
            ScalingSpec scaling,
            List<Worker> serving,
            Map<String, Integer> reclaimable,
            Set<String> declined) {
        Map<String, Integer> room = new TreeMap<>();
        for (String zone : zones.keySet()) {
            int others =
                    declined.contains(zone) ? count(serving, zone, true) : reclaimable.get(zone);
            room.put(zone, Math.max(0, scaling.max() - others));
        }
        return room;
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
