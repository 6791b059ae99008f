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
 * Decides how many upstreams of a service each data centre is to have, and of which kind.
 *
 * <p>Reclaimable upstreams carry the load, in equal parts in every data centre: as many as it needs
 * in comfort, and so many that the loss of all of one data centre leaves as many as serve it with a
 * margin. Upstreams at the full price only bridge the time in which reclaimable ones cannot be had.
 * Numbers grow soon and shrink late, so that they do not swing with the load. A planner that takes
 * a running system over begins with what serves, and gives nothing back before it has measured the
 * load for {@link #LOAD_MEASUREMENT_MILLIS}.
 *
 * @since 0.2
 */
public final class FleetPlanner {
    /**
     * How long the load must have been known before a planner that takes over, or began with a
     * guess, shrinks a fleet, in milliseconds: some of the time over which the load is smoothed, so
     * that a load that is still being summed up is not taken for a small one.
     */
    public static final long LOAD_MEASUREMENT_MILLIS = 8_000;

    /**
     * Reclaimable upstreams ordered for each that the operator provided, before any load is known:
     * a data centre of three may be lost at once.
     */
    private static final double PROVISION_FACTOR = 1.5;

    /**
     * Part of a guessed number that stays when the load has been measured for the first time: a
     * load that swings may just be at its lowest.
     */
    private static final double MIN_PART_OF_GUESS = 0.5;

    /** Upstreams that are to be left after a loss while no load is known. */
    private static final double MIN_WITHOUT_LOAD = 2;

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
    private static final long START_GRACE_MILLIS = 1_500;

    /**
     * How long upstreams at the full price stay when they are no longer wanted: a swing of load.
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
     * @param upstreams the service's upstreams, leaving ones too
     * @param need how many upstreams the load needs; empty if no load is known
     * @param declined data centres where reclaimable upstreams could not be had lately
     * @param nowMillis the time
     * @return an order for both kinds in every data centre
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
        boolean holds = takesOver && !isLoadMeasured(need.isPresent(), nowMillis);
        if (holds) {
            perDataCentre.holdAtLeast(maxInOneDataCentre(serving), nowMillis);
        }
        int target = target(wantedPerDataCentre(scaling, need), need.isPresent(), nowMillis);
        Map<String, Integer> reclaimable = reclaimable(scaling, serving, need, declined, target);
        int coming = expectedSoon(scaling, serving, reclaimable, declined, nowMillis);
        int wantedFull =
                holds ? count(serving, false) : wantedFullPrice(scaling, serving, need, coming);
        int full = fullPrice.update(wantedFull, nowMillis);
        Map<String, Integer> fullByDataCentre =
                placement.place(full, scaling, fullPriceCapacity(scaling, serving, reclaimable, declined));
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
     * Follows what is wanted. A number that was guessed from the operator's provision is replaced
     * by the most that was wanted once the load has been known for {@link #LOAD_MEASUREMENT_MILLIS}.
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

    /** What data centres decline is ordered in the others, in the same step. */
    private Map<String, Integer> reclaimable(
            ScalingSpec scaling,
            List<Upstream> serving,
            Optional<FleetNeed> need,
            Set<String> declined,
            int target) {
        Map<String, Integer> byDataCentre = new TreeMap<>();
        dataCentres.keySet().forEach(dataCentre -> byDataCentre.put(dataCentre, target));
        List<String> open =
                dataCentres.keySet().stream().filter(z -> !declined.contains(z)).toList();
        if (open.isEmpty() || open.size() == dataCentres.size() || need.isEmpty()) {
            return byDataCentre;
        }
        int there = 0;
        for (String dataCentre : dataCentres.keySet()) {
            there += open.contains(dataCentre) ? 0 : count(serving, dataCentre, true);
        }
        int each = ceil((need.get().recommended() - there) / open.size());
        int bounded = Math.max(target, Math.min(scaling.max(), each));
        open.forEach(dataCentre -> byDataCentre.put(dataCentre, bounded));
        return byDataCentre;
    }

    /** Reclaimable upstreams that were ordered and should serve soon. */
    private int expectedSoon(
            ScalingSpec scaling,
            List<Upstream> serving,
            Map<String, Integer> ordered,
            Set<String> declined,
            long nowMillis) {
        int coming = 0;
        for (String dataCentre : dataCentres.keySet()) {
            int missing = ordered.get(dataCentre) - count(serving, dataCentre, true);
            if (missing <= 0 || declined.contains(dataCentre)) {
                shortageSinceMillis.remove(dataCentre);
                continue;
            }
            long since = shortageSinceMillis.computeIfAbsent(dataCentre, name -> nowMillis);
            coming += nowMillis - since <= scaling.bootMillis() + START_GRACE_MILLIS ? missing : 0;
        }
        return coming;
    }

    private boolean isLoadMeasured(boolean known, long nowMillis) {
        if (loadKnownSinceMillis < 0 && known) {
            loadKnownSinceMillis = nowMillis;
        }
        return loadKnownSinceMillis >= 0 && nowMillis - loadKnownSinceMillis >= LOAD_MEASUREMENT_MILLIS;
    }

    /**
     * Before any load is known, the operator's own provision is the best guess of what is needed.
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
        int all = Math.max(1, dataCentres.size());
        int others = Math.max(1, all - 1);
        int wanted =
                need.map(
                                known ->
                                        Math.max(
                                                ceil(known.recommended() / all),
                                                ceil(known.withMargin() / others)))
                        .orElseGet(() -> Math.max(perDataCentre.value(), providedPerDataCentre()));
        return Math.max(Math.max(1, scaling.min()), Math.min(scaling.max(), wanted));
    }

    /**
     * Full-price upstreams that make up for reclaimable ones that cannot be had, and for the loss
     * of one more data centre: waves come some seconds apart, and the last one would leave nothing.
     */
    private int wantedFullPrice(
            ScalingSpec scaling, List<Upstream> serving, Optional<FleetNeed> need, int coming) {
        int reclaimable = count(serving, true);
        int most = scaling.max() * dataCentres.size();
        int least = ceil(need.map(FleetNeed::minimum).orElse(MIN_WITHOUT_LOAD));
        int afterLoss = least - (reclaimable - maxInOneDataCentre(serving));
        int bridged = need.map(known -> ceil(known.withMargin()) - reclaimable - coming).orElse(0);
        return Math.max(0, Math.min(most, Math.max(bridged, afterLoss)));
    }

    /** How many at the full price each data centre can have beside its reclaimable ones. */
    private Map<String, Integer> fullPriceCapacity(
            ScalingSpec scaling,
            List<Upstream> serving,
            Map<String, Integer> reclaimable,
            Set<String> declined) {
        Map<String, Integer> room = new TreeMap<>();
        for (String dataCentre : dataCentres.keySet()) {
            int others =
                    declined.contains(dataCentre)
                            ? count(serving, dataCentre, true)
                            : reclaimable.get(dataCentre);
            room.put(dataCentre, Math.max(0, scaling.max() - others));
        }
        return room;
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
