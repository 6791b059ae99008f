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
import io.trailladder.core.upstream.Upstream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides how many upstreams of a service each data centre gets, and of which kind.
 *
 * <p>Reclaimable upstreams serve the load, in equal numbers in every data centre: as many as the
 * load needs for comfortable operation, and enough that after the loss of a whole data centre the
 * others serve it with a margin. Full-price upstreams only cover the time in which reclaimable ones
 * are not available. Numbers grow soon and shrink late, so that they do not oscillate with the
 * load. A planner that takes over a running system starts from the upstreams that serve, and
 * releases none before it has measured the load for {@link #LOAD_MEASUREMENT_MILLIS}.
 *
 * @since 0.2
 */
public final class FleetPlanner {
    /**
     * Time for which the load must be known before a planner that took over, or that started from a
     * guess, shrinks a fleet, in milliseconds. It is longer than the time constant with which the
     * load is smoothed, so that a load that is still being summed up is not taken for a small one.
     */
    public static final long LOAD_MEASUREMENT_MILLIS = 8_000;

    /**
     * Reclaimable upstreams ordered for each upstream that the operator provided, before any load
     * is known. The factor covers the loss of one of three data centres.
     */
    private static final double PROVISION_FACTOR = 1.5;

    /**
     * Part of a guessed number that stays when the load has been measured for the first time, since
     * an oscillating load may be at its lowest then.
     */
    private static final double MIN_PART_OF_GUESS = 0.5;

    /** Upstreams that must be left after the loss of a data centre while no load is known. */
    private static final double MIN_WITHOUT_LOAD = 2;

    /**
     * Time for which more reclaimable upstreams must be wanted before their number grows, in
     * milliseconds. It is longer than a burst of arrivals.
     */
    private static final long GROW_AFTER_MILLIS = 1_500;

    /**
     * Time for which fewer reclaimable upstreams must be wanted before their number shrinks, in
     * milliseconds. Half of it gives no better results.
     */
    private static final long SHRINK_AFTER_MILLIS = 20_000;

    /**
     * Time beyond the boot time within which ordered reclaimable upstreams should serve, in
     * milliseconds. Until then no full-price upstreams are ordered in their place.
     */
    private static final long START_GRACE_MILLIS = 1_500;

    /**
     * Time for which full-price upstreams are kept when they are no longer wanted, in milliseconds.
     * It covers an oscillation of the load.
     */
    private static final long RELEASE_AFTER_MILLIS = 2_000;

    private final String service;
    private final boolean takesOver;
    private final Map<String, Integer> dataCentres = new TreeMap<>();
    private final Set<String> provided = new HashSet<>();
    private final FullPricePlacement placement = new FullPricePlacement();
    private final Map<String, Long> shortageSinceMillis = new TreeMap<>();
    private final StabilisedCount perDataCentre =
            new StabilisedCount(GROW_AFTER_MILLIS, SHRINK_AFTER_MILLIS);
    private final StabilisedCount fullPrice = new StabilisedCount(0, RELEASE_AFTER_MILLIS);
    private long loadKnownSinceMillis = -1;
    private boolean guessed;
    private int maxWanted;

    /**
     * Creates a planner.
     *
     * @param service the service for which it plans
     * @param takesOver true if other processes may have ordered upstreams before this process
     *     started
     */
    public FleetPlanner(String service, boolean takesOver) {
        this.service = service;
        this.takesOver = takesOver;
    }

    /**
     * Computes the orders for the current step.
     *
     * @param scaling bounds and prices
     * @param upstreams the upstreams of the service, including leaving ones
     * @param need how many upstreams the load needs; empty if no load is known
     * @param declined data centres in which the cloud recently declined reclaimable upstreams
     * @param nowMillis the current time, in milliseconds
     * @return one order for each kind in every data centre
     */
    public List<UpstreamOrder> plan(
            ScalingSpec scaling,
            Collection<Upstream> upstreams,
            Optional<FleetNeed> need,
            Set<String> declined,
            long nowMillis) {
        List<Upstream> serving =
                upstreams.stream().filter(upstream -> !upstream.draining()).toList();
        upstreams.forEach(upstream -> dataCentres.putIfAbsent(upstream.dataCentre(), 0));
        if (need.isEmpty()) {
            recordProvided(serving);
        }
        boolean holding = takesOver && !isLoadMeasured(need.isPresent(), nowMillis);
        if (holding) {
            perDataCentre.holdAtLeast(maxInOneDataCentre(serving), nowMillis);
        }
        int target = target(wantedPerDataCentre(scaling, need), need.isPresent(), nowMillis);
        Map<String, Integer> reclaimable = reclaimable(scaling, serving, need, declined, target);
        int expectedSoon = expectedSoon(scaling, serving, reclaimable, declined, nowMillis);
        int wantedFull =
                holding
                        ? count(serving, false)
                        : wantedFullPrice(scaling, serving, need, expectedSoon);
        int full = fullPrice.update(wantedFull, nowMillis);
        Map<String, Integer> fullByDataCentre =
                placement.place(
                        full, scaling, fullPriceCapacity(scaling, serving, reclaimable, declined));
        List<UpstreamOrder> orders = new ArrayList<>();
        for (String dataCentre : dataCentres.keySet()) {
            orders.add(new UpstreamOrder(service, dataCentre, true, reclaimable.get(dataCentre)));
            orders.add(
                    new UpstreamOrder(
                            service, dataCentre, false, fullByDataCentre.get(dataCentre)));
        }
        return orders;
    }

    /**
     * Updates the target per data centre. Once the load has been known for {@link
     * #LOAD_MEASUREMENT_MILLIS}, a number that was guessed from the operator's provision is
     * replaced by the highest number wanted so far, but at least by {@code MIN_PART_OF_GUESS} of
     * the guess.
     */
    private int target(int wanted, boolean known, long nowMillis) {
        if (guessed && known) {
            maxWanted = Math.max(maxWanted, wanted);
            if (isLoadMeasured(true, nowMillis)) {
                guessed = false;
                perDataCentre.set(
                        Math.max(maxWanted, ceil(MIN_PART_OF_GUESS * perDataCentre.value())));
            }
        }
        return perDataCentre.update(wanted, nowMillis);
    }

    /** Orders what some data centres decline in the others, in the same step. */
    private Map<String, Integer> reclaimable(
            ScalingSpec scaling,
            List<Upstream> serving,
            Optional<FleetNeed> need,
            Set<String> declined,
            int target) {
        Map<String, Integer> byDataCentre = new TreeMap<>();
        dataCentres.keySet().forEach(dataCentre -> byDataCentre.put(dataCentre, target));
        List<String> accepting =
                dataCentres.keySet().stream().filter(name -> !declined.contains(name)).toList();
        if (accepting.isEmpty() || accepting.size() == dataCentres.size() || need.isEmpty()) {
            return byDataCentre;
        }
        int inDeclining = 0;
        for (String dataCentre : dataCentres.keySet()) {
            inDeclining += accepting.contains(dataCentre) ? 0 : count(serving, dataCentre, true);
        }
        int perAccepting = ceil((need.get().recommended() - inDeclining) / accepting.size());
        int bounded = Math.max(target, Math.min(scaling.max(), perAccepting));
        accepting.forEach(dataCentre -> byDataCentre.put(dataCentre, bounded));
        return byDataCentre;
    }

    /** Returns the number of reclaimable upstreams that were ordered and should serve soon. */
    private int expectedSoon(
            ScalingSpec scaling,
            List<Upstream> serving,
            Map<String, Integer> ordered,
            Set<String> declined,
            long nowMillis) {
        int expectedSoon = 0;
        for (String dataCentre : dataCentres.keySet()) {
            int missing = ordered.get(dataCentre) - count(serving, dataCentre, true);
            if (missing <= 0 || declined.contains(dataCentre)) {
                shortageSinceMillis.remove(dataCentre);
                continue;
            }
            long since = shortageSinceMillis.computeIfAbsent(dataCentre, name -> nowMillis);
            expectedSoon +=
                    nowMillis - since <= scaling.bootMillis() + START_GRACE_MILLIS ? missing : 0;
        }
        return expectedSoon;
    }

    private boolean isLoadMeasured(boolean known, long nowMillis) {
        if (loadKnownSinceMillis < 0 && known) {
            loadKnownSinceMillis = nowMillis;
        }
        return loadKnownSinceMillis >= 0
                && nowMillis - loadKnownSinceMillis >= LOAD_MEASUREMENT_MILLIS;
    }

    /**
     * Records the operator's own provision, which is the best guess of the need before any load is
     * known.
     */
    private void recordProvided(List<Upstream> serving) {
        serving.stream()
                .filter(upstream -> !upstream.reclaimable())
                .forEach(upstream -> provided.add(upstream.id()));
        if (providedPerDataCentre() > 0 && loadKnownSinceMillis < 0) {
            perDataCentre.raiseTo(providedPerDataCentre());
            guessed = !takesOver;
        }
    }

    private int providedPerDataCentre() {
        return ceil(PROVISION_FACTOR * provided.size() / Math.max(1, dataCentres.size()));
    }

    private int wantedPerDataCentre(ScalingSpec scaling, Optional<FleetNeed> need) {
        int dataCentreCount = Math.max(1, dataCentres.size());
        int remainingAfterLoss = Math.max(1, dataCentreCount - 1);
        int wanted =
                need.map(
                                known ->
                                        Math.max(
                                                ceil(known.recommended() / dataCentreCount),
                                                ceil(known.withMargin() / remainingAfterLoss)))
                        .orElseGet(() -> Math.max(perDataCentre.value(), providedPerDataCentre()));
        return Math.max(Math.max(1, scaling.min()), Math.min(scaling.max(), wanted));
    }

    /**
     * Returns how many full-price upstreams make up for reclaimable ones that are not available,
     * and for the loss of one more data centre. Losses come some seconds apart, so without the
     * latter the last one would leave no upstream.
     */
    private int wantedFullPrice(
            ScalingSpec scaling,
            List<Upstream> serving,
            Optional<FleetNeed> need,
            int expectedSoon) {
        int reclaimable = count(serving, true);
        int max = scaling.max() * dataCentres.size();
        int min = ceil(need.map(FleetNeed::minimum).orElse(MIN_WITHOUT_LOAD));
        int afterLoss = min - (reclaimable - maxInOneDataCentre(serving));
        int bridged =
                need.map(known -> ceil(known.withMargin()) - reclaimable - expectedSoon).orElse(0);
        return Math.max(0, Math.min(max, Math.max(bridged, afterLoss)));
    }

    /**
     * Returns how many full-price upstreams each data centre can have beside its reclaimable ones.
     */
    private Map<String, Integer> fullPriceCapacity(
            ScalingSpec scaling,
            List<Upstream> serving,
            Map<String, Integer> reclaimable,
            Set<String> declined) {
        Map<String, Integer> capacity = new TreeMap<>();
        for (String dataCentre : dataCentres.keySet()) {
            int reclaimableCount =
                    declined.contains(dataCentre)
                            ? count(serving, dataCentre, true)
                            : reclaimable.get(dataCentre);
            capacity.put(dataCentre, Math.max(0, scaling.max() - reclaimableCount));
        }
        return capacity;
    }

    private static int ceil(double value) {
        return (int) Math.ceil(value);
    }

    private int maxInOneDataCentre(List<Upstream> serving) {
        return dataCentres.keySet().stream()
                .mapToInt(dataCentre -> count(serving, dataCentre, true))
                .max()
                .orElse(0);
    }

    private static int count(List<Upstream> serving, boolean reclaimable) {
        return (int)
                serving.stream().filter(upstream -> upstream.reclaimable() == reclaimable).count();
    }

    private static int count(List<Upstream> serving, String dataCentre, boolean reclaimable) {
        return (int)
                serving.stream()
                        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
                        .filter(upstream -> upstream.reclaimable() == reclaimable)
                        .count();
    }
}
