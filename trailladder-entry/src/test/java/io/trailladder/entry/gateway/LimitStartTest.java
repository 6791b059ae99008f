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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests, in virtual time, that a process which is ready can use its part of the limits. */
class LimitStartTest {
    private static final double PER_SECOND = 10_000;
    private static final String ONE = "p000";

    private final SimulatedCluster cluster = new SimulatedCluster(1, 1, PER_SECOND);
    private final List<Long> outcomes = new ArrayList<>();

    /** Sends a small request in each step in which the process says that it uses its limits. */
    private void requestWhileLimitsAreUsed() {
        SimulatedProcess process = cluster.process(ONE);
        cluster.onStep(
                () -> {
                    if (process.view().usesLimits()) {
                        process.request(SimulatedCluster.UNITS_PER_REQUEST, outcomes::add);
                    }
                });
        cluster.advance(4_000);
        assertTrue(outcomes.size() > 100, outcomes.size() + " requests");
        assertEquals(0, outcomes.stream().filter(waitMillis -> waitMillis > 0).count());
    }

    @Example
    void processThatWasListedAdmitsRequestsAtOnce() {
        requestWhileLimitsAreUsed();
    }

    /** Guards against a process that is ready before the share that it may use is set. */
    @Example
    void processThatWasNotListedAdmitsRequestsAsSoonAsItIsReady() {
        cluster.revokeEntries(List.of(ONE));
        requestWhileLimitsAreUsed();
    }

    /** Guards against a policy that is read after the other processes, and waits for its shares. */
    @Example
    void limitOfALatePolicyAdmitsRequestsAtOnce() {
        cluster.removeLimit();
        cluster.advance(3_000);
        cluster.limit(PER_SECOND);
        requestWhileLimitsAreUsed();
    }

    /**
     * Guards against pooling units at a process that may not hold any yet, and refuses requests.
     */
    @Example
    void processThatWasNotListedIsSuppliedUntilItsOwnUnitsAccrue() {
        for (int i = 0; i < 8; i++) {
            assertSuppliedUntilItsUnitsAccrue("p00" + i);
        }
    }

    private static void assertSuppliedUntilItsUnitsAccrue(String name) {
        SimulatedCluster eight = new SimulatedCluster(1, 8, PER_SECOND);
        eight.revokeEntries(List.of(name));
        SimulatedProcess process = eight.process(name);
        List<Long> ownUnits = new ArrayList<>();
        List<Long> supplied = new ArrayList<>();
        eight.onStep(
                () -> {
                    List<Long> current = process.view().usesLimits() ? ownUnits : supplied;
                    process.request(SimulatedCluster.UNITS_PER_REQUEST, current::add);
                });
        eight.advance(4_000);
        List<Long> all = new ArrayList<>(supplied);
        all.addAll(ownUnits);
        int firstAdmitted = all.indexOf(0L);
        assertTrue(supplied.contains(0L), name + " was not supplied");
        long refused = all.stream().skip(firstAdmitted).filter(wait -> wait > 0).count();
        assertEquals(0, refused, name + " refused requests after the first that it admitted");
    }
}
