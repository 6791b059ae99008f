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
package io.trailladder.core.topology;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Classes of distance, and what is not in the table of regions. */
class TopologyTest {
    private static final Map<String, String> TABLE =
            Map.of("a1", "a", "a2", "a", "b1", "b", "c1", "c");

    @Example
    void returnsDistances() {
        Topology topology = Topology.of("a1", TABLE);
        assertEquals(Distance.SAME_DATA_CENTRE, topology.distance("a1"));
        assertEquals(Distance.SAME_REGION, topology.distance("a2"));
        assertEquals(Distance.OTHER_REGION, topology.distance("b1"));
        assertEquals("a", topology.region());
        assertEquals("c", topology.region("c1"));
        assertEquals(List.of("b", "c"), topology.otherRegions());
    }

    @Example
    void unknownDataCentreCountsAsOfTheOwnRegion() {
        Topology topology = Topology.of("a1", TABLE);
        assertEquals(Distance.SAME_REGION, topology.distance("new"));
        assertEquals("a", topology.region("new"));
    }

    @Example
    void withoutATableOrTheOwnDataCentreInItAllIsOneRegion() {
        for (Topology topology :
                List.of(
                        Topology.oneRegion("x"),
                        Topology.of("x", TABLE),
                        Topology.of("x", Map.of()))) {
            assertTrue(topology.isOneRegion());
            assertEquals(Distance.SAME_DATA_CENTRE, topology.distance("x"));
            assertEquals(Distance.SAME_REGION, topology.distance("b1"));
            assertTrue(topology.isOwnRegion("b1"));
        }
    }

    @Example
    void tableOfOneRegionIsOneRegion() {
        assertTrue(Topology.of("a1", Map.of("a1", "a", "a2", "a")).isOneRegion());
    }
}
