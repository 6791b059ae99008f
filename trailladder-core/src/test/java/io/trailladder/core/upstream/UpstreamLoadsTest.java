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
package io.trailladder.core.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;

/** Sums of the work under way at upstreams, as hubs tell them. */
class UpstreamLoadsTest {
    private static Map<String, Integer> requests(List<UpstreamUse> uses) {
        Map<String, Integer> requests = new TreeMap<>();
        uses.forEach(use -> requests.put(use.upstream(), use.requests()));
        return requests;
    }

    private static UpstreamLoads loads() {
        UpstreamLoads loads = new UpstreamLoads();
        loads.sent("u1", 100);
        loads.setPeerUses("leaf", List.of(new UpstreamUse("u1", 2, 10), new UpstreamUse("u2", 3, 20)));
        loads.setPeerUses("hub", List.of(new UpstreamUse("u3", 4, 30)));
        return loads;
    }

    @Example
    void groupSumsOwnAndLeavesAndExceptSumsAllButOne() {
        UpstreamLoads loads = loads();
        assertEquals(Map.of("u1", 3, "u2", 3), requests(loads.groupUses(List.of("leaf"))));
        assertEquals(Map.of("u1", 1, "u3", 4), requests(loads.usesExcept("leaf")));
        assertEquals(Map.of("u1", 1), requests(loads.ownUses()));
        assertEquals(3, loads.requests("u1"));
        assertEquals(110, loads.promptTokens("u1"));
    }

    @Example
    void newerFiguresReplaceOlderOnesAndALostPeerCountsNothing() {
        UpstreamLoads loads = loads();
        loads.setPeerUses("leaf", List.of(new UpstreamUse("u2", 1, 5)));
        assertEquals(1, loads.requests("u1"));
        assertEquals(1, loads.requests("u2"));
        assertEquals(5, loads.promptTokens("u2"));
        loads.peerLost("leaf");
        loads.peerLost("leaf");
        assertEquals(0, loads.requests("u2"));
        assertEquals(4, loads.requests("u3"));
    }
}
