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

import io.trailladder.core.policy.ScalingSpec;
import io.trailladder.core.worker.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides how many upstreams of a service each data centre is to have, and of which kind.
 *
 * <p>Reclaimable upstreams carry the load wherever they can be had. The data centres have equal
 * parts, so that the loss of all reclaimable upstreams of one leaves the others below {@link
 * #MOST_BUSY_AFTER_LOSS}. Upstreams at the full price take their place while there are none, and
 * leave only when reclaimable ones serve again.
 *
 * @since 0.2
 */
public final class FleetPlanner {
    /** Part of their time that the remaining upstreams may be busy after a data centre's loss. */
    public static final double MOST_BUSY_AFTER_LOSS = 0.40;

    private final String service;
    private final Set<String> zones = new TreeSet<>();

    /**
     * Creates a planner.
     *
     * @param service the service it plans for
     */
    public FleetPlanner(String service) {
        this.service = service;
    }

    /**
     * Plans.
     *
     * @param scaling bounds and prices
     * @param workers the service's upstreams, leaving ones too
     * @param busy how many upstreams the load would keep busy all the time; below 0 if not known
     * @param dryZones data centres where no reclaimable upstream could be had lately
     * @return an order for both kinds in every data centre
     */
    public List<WorkerOrder> plan(
            ScalingSpec scaling, Collection<Worker> workers, double busy, Set<String> dryZones) {
        List<Worker> serving = workers.stream().filter(worker -> !worker.draining()).toList();
        serving.forEach(worker -> zones.add(worker.zone()));
        List<WorkerOrder> orders = new ArrayList<>();
        int target = perZone(scaling, serving, busy);
        for (String zone : zones) {
            int reclaimable = count(serving, zone, true);
            boolean dry = dryZones.contains(zone);
            orders.add(new WorkerOrder(service, zone, true, dry ? reclaimable : target));
            int missing = Math.max(0, target - reclaimable);
            orders.add(new WorkerOrder(service, zone, false, missing));
        }
        return orders;
    }

    private int perZone(ScalingSpec scaling, List<Worker> serving, double busy) {
        int count = Math.max(1, zones.size());
        int target;
        if (busy < 0) {
            target = (int) Math.ceil(serving.size() / (double) count);
        } else {
            int zonesAfterLoss = Math.max(1, count - 1);
            target = (int) Math.ceil(busy / MOST_BUSY_AFTER_LOSS / zonesAfterLoss);
        }
        return Math.max(Math.max(1, scaling.min()), Math.min(scaling.max(), target));
    }

    private static int count(List<Worker> serving, String zone, boolean reclaimable) {
        return (int)
                serving.stream()
                        .filter(worker -> worker.zone().equals(zone))
                        .filter(worker -> worker.reclaimable() == reclaimable)
                        .count();
    }
}
