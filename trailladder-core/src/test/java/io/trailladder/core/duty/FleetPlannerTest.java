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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.engine.FleetNeed;
import io.trailladder.core.policy.ScalingSpec;
import io.trailladder.core.worker.Worker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;

/** Reclaimable upstreams carry the load; full-price ones only make up for those that are gone. */
class FleetPlannerTest {
    private static final ScalingSpec SCALING =
            new ScalingSpec(1, 6, 4_000, 0.2, Map.of("a", 0.85, "b", 1.2, "c", 1.0));
    private static final Optional<FleetNeed> UNKNOWN = Optional.empty();

    /** A load that wants its upstreams at most 0.35 busy, and 0.7 when they are short. */
    private static Optional<FleetNeed> busy(double upstreams) {
        return Optional.of(new FleetNeed(upstreams / 0.35, upstreams / 0.7));
    }

    private static List<Worker> fleet(int fullPrice, int reclaimable) {
        List<Worker> workers = new ArrayList<>();
        for (String zone : List.of("a", "b", "c")) {
            add(workers, zone, fullPrice, false);
            add(workers, zone, reclaimable, true);
        }
        return workers;
    }

    private static void add(List<Worker> workers, String zone, int count, boolean reclaimable) {
        for (int i = 0; i < count; i++) {
            String id = zone + i + reclaimable;
            workers.add(new Worker(id, "s", zone, "h:1", 8, false, reclaimable, 0));
        }
    }

    private static int ordered(List<WorkerOrder> orders, boolean reclaimable) {
        return orders.stream()
                .filter(order -> order.reclaimable() == reclaimable)
                .mapToInt(WorkerOrder::count)
                .sum();
    }

    @Example
    void provisionIsReplacedByReclaimableUpstreamsBeforeItIsReleased() {
        FleetPlanner planner = new FleetPlanner("s", false);
        List<WorkerOrder> first = planner.plan(SCALING, fleet(2, 0), UNKNOWN, 0);
        assertEquals(9, ordered(first, true));
        assertTrue(ordered(first, false) >= 2, "something still serves at the full price");
        List<WorkerOrder> served = planner.plan(SCALING, fleet(2, 3), UNKNOWN, 5_000);
        assertEquals(9, ordered(served, true));
        List<WorkerOrder> later = planner.plan(SCALING, fleet(2, 3), UNKNOWN, 8_000);
        assertEquals(0, ordered(later, false));
    }

    @Example
    void partOfTheListSeenFirstDoesNotShrinkTheFleet() {
        FleetPlanner planner = new FleetPlanner("s", false);
        planner.plan(SCALING, fleet(2, 0).subList(0, 1), UNKNOWN, 0);
        assertEquals(9, ordered(planner.plan(SCALING, fleet(2, 0), UNKNOWN, 100), true));
    }

    @Example
    void ownOrdersDoNotFeedBackIntoTheTarget() {
        FleetPlanner planner = new FleetPlanner("s", false);
        planner.plan(SCALING, fleet(2, 0), UNKNOWN, 0);
        planner.plan(SCALING, fleet(2, 3), UNKNOWN, 5_000);
        assertEquals(9, ordered(planner.plan(SCALING, fleet(2, 3), UNKNOWN, 60_000), true));
    }

    @Example
    void lossOfReclaimableUpstreamsIsMadeUpAtOnce() {
        FleetPlanner planner = new FleetPlanner("s", false);
        planner.plan(SCALING, fleet(0, 2), busy(1.3), 0);
        List<Worker> left = new ArrayList<>();
        add(left, "a", 2, true);
        left.add(new Worker("b0", "s", "b", "h:1", 8, true, true, 2_000));
        assertTrue(ordered(planner.plan(SCALING, left, busy(1.3), 1_000), false) >= 2);
    }

    @Example
    void aShortPeakDoesNotChangeTheTarget() {
        FleetPlanner planner = new FleetPlanner("s", false);
        int before = ordered(planner.plan(SCALING, fleet(0, 2), busy(1.3), 0), true);
        planner.plan(SCALING, fleet(0, 2), busy(4), 1_000);
        assertEquals(before, ordered(planner.plan(SCALING, fleet(0, 2), busy(4), 2_000), true));
    }

    @Example
    void takingOverDoesNotShrinkWhatServes() {
        FleetPlanner planner = new FleetPlanner("s", true);
        List<Worker> serving = fleet(1, 5);
        for (long now = 0; now <= FleetPlanner.MEASURED_MILLIS; now += 250) {
            Optional<FleetNeed> load = now < 500 ? UNKNOWN : busy(now / 10_000.0);
            List<WorkerOrder> orders = planner.plan(SCALING, serving, load, now);
            assertTrue(ordered(orders, true) >= 15, "reclaimable at " + now);
            assertTrue(ordered(orders, false) >= 3, "full price at " + now);
        }
    }

    @Example
    void entriesThatComeBackLateAfterTakingOverAreKeptToo() {
        FleetPlanner planner = new FleetPlanner("s", true);
        planner.plan(SCALING, fleet(0, 5).subList(0, 2), UNKNOWN, 0);
        assertEquals(15, ordered(planner.plan(SCALING, fleet(0, 5), busy(0.4), 1_000), true));
    }

    @Example
    void aFleetThatIsTooLargeShrinksOnceTheLoadIsMeasured() {
        FleetPlanner planner = new FleetPlanner("s", true);
        List<WorkerOrder> orders = List.of();
        for (long now = 0; now <= 200_000; now += 250) {
            orders = planner.plan(SCALING, fleet(0, 5), busy(0.5), now);
        }
        assertEquals(3, ordered(orders, true));
    }

    @Example
    void aPeakRightAfterTakingOverIsNotBridgedAtTheFullPrice() {
        FleetPlanner planner = new FleetPlanner("s", true);
        for (long now = 0; now < FleetPlanner.MEASURED_MILLIS; now += 250) {
            assertEquals(0, ordered(planner.plan(SCALING, fleet(0, 5), busy(9), now), false));
        }
    }
}
