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

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/**
 * What processes tell each other, in messages and bytes of virtual time, so that a part that is
 * added shows what it costs. The bounds are what was counted, and a tenth.
 */
class MeshUseTest {
    private static final int DATA_CENTRES = 6;
    private static final int PROCESSES_PER_DATA_CENTRE = 12;
    private static final int PROCESSES = DATA_CENTRES * PROCESSES_PER_DATA_CENTRE;
    private static final int SECONDS = 10;
    private static final long SETTLE_MILLIS = 6_000;
    private static final double LIMIT_PER_SECOND = 10_000;

    /** 17.5 were counted: five a second on each of 66 links between hubs and 60 of leaves. */
    private static final double MAX_MESSAGES_PER_SECOND = 19.3;

    /** 442.5 were counted. */
    private static final double MAX_IDLE_BYTES_PER_SECOND = 487;

    /** 967.5 were counted. */
    private static final double MAX_BUSY_BYTES_PER_SECOND = 1_064;

    private final SimulatedCluster cluster =
            new SimulatedCluster(DATA_CENTRES, PROCESSES_PER_DATA_CENTRE, LIMIT_PER_SECOND);

    private void assertTraffic(double mostMessages, double mostBytes) {
        cluster.advance(SETTLE_MILLIS);
        long messages = cluster.messages();
        long bytes = cluster.bytes();
        cluster.advance(SECONDS * 1_000L);
        double each = PROCESSES * SECONDS;
        double sent = (cluster.messages() - messages) / each;
        double size = (cluster.bytes() - bytes) / each;
        String told = sent + " messages and " + size + " bytes a second and process";
        assertTrue(sent <= mostMessages, told);
        assertTrue(size <= mostBytes, told);
    }

    @Example
    void trafficIsBoundedWithoutRequests() {
        assertTraffic(MAX_MESSAGES_PER_SECOND, MAX_IDLE_BYTES_PER_SECOND);
    }

    @Example
    void trafficIsBoundedUnderLoad() {
        cluster.demand(LIMIT_PER_SECOND / 2);
        assertTraffic(MAX_MESSAGES_PER_SECOND, MAX_BUSY_BYTES_PER_SECOND);
    }
}
