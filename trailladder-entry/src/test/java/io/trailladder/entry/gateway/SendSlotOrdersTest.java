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

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.SendSlotOrder;
import io.trailladder.core.upstream.Upstream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Which turns are whose. */
class SendSlotOrdersTest {
    private static final Map<String, String> REGIONS = Map.of("a", "r1", "b", "r1", "c", "r2");

    private static GatewayMember member(int number, String dataCentre) {
        return new GatewayMember("g" + number, dataCentre, "127.0.0.1:" + (1 + number), 1, 100);
    }

    private static Upstream upstream(String dataCentre) {
        return new Upstream("w", "m", dataCentre, "127.0.0.1:9", 8, false, false, 0);
    }

    private static SendSlotOrder order(
            int self, String dataCentre, List<GatewayMember> listed, int processes, String where) {
        Topology topology = Topology.of(dataCentre, REGIONS);
        return new SendSlotOrders("g" + self, topology, () -> listed, () -> processes, () -> 0)
                .of(upstream(where));
    }

    @Example
    void eachProcessOfARegionHasOnePlace() {
        List<GatewayMember> listed = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            listed.add(member(i, List.of("a", "b", "c").get(i % 3)));
        }
        Set<SendSlotOrder> places = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            places.add(order(i, List.of("a", "b", "c").get(i % 3), listed, 12, "a"));
        }
        assertTrue(places.remove(SendSlotOrder.NO_SHARE), "the other region's have none");
        assertEquals(8, places.size());
        places.forEach(place -> assertEquals(8, place.count()));
    }

    @Example
    void unlistedProcessCountsItself() {
        List<GatewayMember> listed = List.of(member(0, "a"), member(2, "a"));
        assertEquals(new SendSlotOrder(1, 3), order(1, "a", listed, 3, "a"));
    }

    /** Or all would take every turn when the store has told nothing after a start of all. */
    @Example
    void processTakesAShareWhileOthersAreUnknown() {
        assertEquals(10, order(1, "a", List.of(), 1, "a").count());
        assertEquals(340, order(1, "a", List.of(), 340, "a").count());
        assertEquals(8, order(1, "a", List.of(member(1, "a")), 8, "a").count());
    }

    @Example
    void slotsOfARegionWithoutProcessesAreSharedByAll() {
        List<GatewayMember> listed = List.of(member(0, "a"), member(1, "b"));
        assertEquals(2, order(0, "a", listed, 2, "c").count());
    }
}
