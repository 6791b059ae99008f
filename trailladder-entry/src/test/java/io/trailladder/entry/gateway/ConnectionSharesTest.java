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

import io.trailladder.core.upstream.Upstream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that all processes together keep no more connections than an upstream accepts. */
class ConnectionSharesTest {
    private static final Upstream UPSTREAM =
            new Upstream("w", "m", "a", "127.0.0.1:1", 8, false, false, 0);

    @Property(tries = 500, seed = "20261203")
    void idleConnectionsOfAllProcessesFitIntoTheAcceptedNumber(
            @ForAll @IntRange(min = 1, max = 340) int processes,
            @ForAll @IntRange(min = 1, max = 1_000) int accepted) {
        int maxIdle = ConnectionShares.share(accepted - UPSTREAM.slots(), processes);
        boolean oneEach = accepted - UPSTREAM.slots() < processes;
        assertTrue(maxIdle >= 1 && maxIdle <= 64);
        assertTrue(oneEach || maxIdle * processes + UPSTREAM.slots() <= accepted);
    }

    @Example
    void withoutABoundAFixedNumberOfIdleConnectionsIsKept() {
        ConnectionShares shares =
                new ConnectionShares(new PolicyManager(new EmptyPlatformFormat()), () -> 340);
        assertEquals(64, shares.maxIdle("m", UPSTREAM));
    }

    /** Guards against each process that has just started keeping what belongs to all. */
    @Example
    void processThatKnowsNoOthersKeepsOneIdleConnection() {
        assertEquals(1, ConnectionShares.share(100, 0));
    }
}
