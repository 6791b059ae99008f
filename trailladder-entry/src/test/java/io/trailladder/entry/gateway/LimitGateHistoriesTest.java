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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.limit.LimitAccount.Share;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.OrganisationSpec;
import io.trailladder.core.policy.RateSpec;
import io.trailladder.core.policy.RequestBounds;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ServiceShare;
import io.trailladder.core.policy.ServingPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against requests that wait for units and are never answered, or twice, whatever happens
 * meanwhile: limits are taken away, added and changed, the process that was asked answers, does not
 * answer, or is lost, callers leave, deadlines pass, requests are found to end upstreams, and the
 * process stops.
 */
class LimitGateHistoriesTest {
    private static final List<String> ORGANISATIONS = List.of("a", "b", "c");
    private static final long STEP_MILLIS = 10;
    private static final long CHECK_MILLIS = 20;
    private static final int STEPS = 300;
    private static final int UNITS = 60;

    @Property(tries = 200, seed = "20261204")
    void everyRequestIsDecidedOnceAndInTime(@ForAll long seed) {
        new History(new SplittableRandom(seed)).run();
    }

    /** A drawn order of events, in virtual time. */
    private static final class History {
        private final SplittableRandom random;
        private long now;
        private long version;
        private final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
        private final Map<Integer, String> outcomes = new HashMap<>();
        private final Map<Integer, Long> deadlines = new HashMap<>();
        private final Set<Integer> left = new HashSet<>();
        private final Quotas quotas =
                new Quotas(
                        false,
                        new GatewaySettings.Tolerance(0, 0),
                        new LimitUseLog(new GatewayMetrics()));
        private final LimitGate<Integer> gate =
                new LimitGate<>(quotas, () -> now, this::schedule, new Outcomes());

        History(SplittableRandom random) {
            this.random = random;
        }

        private Runnable schedule(long delayMillis, Runnable task) {
            List<Runnable> due = timers.computeIfAbsent(now + delayMillis, at -> new ArrayList<>());
            due.add(task);
            return () -> due.remove(task);
        }

        private final class Outcomes implements LimitGate.Listener<Integer> {
            @Override
            public boolean isOver(Integer request) {
                return left.contains(request);
            }

            @Override
            public void admitted(Integer request) {
                record(request, "admitted");
            }

            @Override
            public void overLimit(Integer request, long retryAfterMillis) {
                record(request, "over limit");
            }

            @Override
            public void withdrawn(Integer request) {
                record(request, "withdrawn");
            }

            @Override
            public void expired(Integer request) {
                record(request, "expired");
            }
        }

        private void record(int request, String outcome) {
            assertNull(outcomes.put(request, outcome), request + " was decided twice");
            assertTrue(now <= deadlines.get(request), request + " was decided after its deadline");
        }

        private void applyRandomPolicy() {
            List<OrganisationSpec> specs = new ArrayList<>();
            for (String name : ORGANISATIONS) {
                if (random.nextInt(3) > 0) {
                    RateSpec limit =
                            random.nextInt(6) == 0
                                    ? RateSpec.UNLIMITED
                                    : new RateSpec(200, 100, random.nextInt(4) > 0, 1);
                    specs.add(
                            new OrganisationSpec(name, List.of(name), OptionalInt.empty(), limit));
                }
            }
            quotas.applyPolicy(
                    new ServingPolicy(
                            ++version, List.of(), List.of(), specs, RequestBounds.DEFAULTS),
                    now);
            quotas.organisations().forEach(name -> quotas.share(name, new Share(0.1, 0, 0), now));
        }

        private void enter(int id) {
            Route route =
                    new Route(
                            "r",
                            "h",
                            "/",
                            RouteKind.UNSAFE,
                            600,
                            100 + random.nextInt(2_000),
                            0,
                            List.of(new ServiceShare("s", 1)),
                            1,
                            false,
                            false,
                            false);
            long deadline = now + random.nextInt(10, 600);
            deadlines.put(id, deadline);
            String organisation = ORGANISATIONS.get(random.nextInt(ORGANISATIONS.size()));
            gate.enter(
                    id,
                    new ServingRequest(
                            "" + id,
                            organisation,
                            route,
                            "s",
                            0,
                            Prompt.NONE,
                            0,
                            now,
                            deadline,
                            version),
                    UNITS);
        }

        private void step(int id) {
            if (random.nextInt(12) == 0) {
                applyRandomPolicy();
            }
            if (random.nextInt(3) == 0) {
                enter(id);
            }
            String organisation = ORGANISATIONS.get(random.nextInt(ORGANISATIONS.size()));
            switch (random.nextInt(14)) {
                case 0 -> quotas.answered(organisation, random.nextInt(200), 0, now);
                case 1 -> quotas.answered(organisation, 0, 50, now);
                case 2 -> quotas.supplierLost(organisation);
                case 3 -> left.add(random.nextInt(id + 1));
                case 4 ->
                        gate.end(request -> request % 7 == 0, request -> record(request, "ended"));
                default -> {}
            }
            if (now % CHECK_MILLIS == 0) {
                quotas.check(now);
            }
            now += STEP_MILLIS;
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                long at = timers.firstKey();
                List<Runnable> due = timers.remove(at);
                long end = now;
                now = at;
                List.copyOf(due).forEach(Runnable::run);
                now = end;
            }
        }

        void run() {
            quotas.suppliers(organisation -> new SilentSupplier(), () -> {});
            applyRandomPolicy();
            for (int id = 0; id < STEPS; id++) {
                step(id);
            }
            gate.end(request -> true, request -> record(request, "ended"));
            Set<Integer> undecided = new HashSet<>(deadlines.keySet());
            undecided.removeAll(outcomes.keySet());
            undecided.removeAll(left);
            assertEquals(Set.of(), undecided, "requests that were never decided");
            assertEquals(0, gate.size());
            // what is granted after the end must not reach a request a second time
            ORGANISATIONS.forEach(name -> quotas.answered(name, 10_000, 0, now));
            quotas.check(now);
        }
    }
}
