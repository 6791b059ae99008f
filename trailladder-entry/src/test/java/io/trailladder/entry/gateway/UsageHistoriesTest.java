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
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** What is known of the usage of processes that are lost, at those that are not. */
class UsageHistoriesTest {
    private static final int DATA_CENTRES = 3;
    private static final int PROCESSES = 30;
    private static final int REQUESTS_PER_PROCESS = 7;
    private static final int SURVIVORS = 6;

    /** Within this time, in milliseconds, counts have gone to a hub, to all hubs and to keepers. */
    private static final long PROPAGATION_MILLIS = 700;

    /** Until survivors have found each other: leases of the lost, a list of the store, links. */
    private static final long RECONNECTION_MILLIS = 12_000;

    private final SimulatedCluster cluster =
            new SimulatedCluster(DATA_CENTRES, PROCESSES / DATA_CENTRES, 10_000);
    private final long window;

    UsageHistoriesTest() {
        cluster.advance(10_000);
        window = cluster.now() / SimulatedProcess.USAGE_WINDOW_MILLIS;
        for (String name : cluster.names()) {
            for (int i = 0; i < REQUESTS_PER_PROCESS; i++) {
                cluster.process(name).usage().started("t", cluster.now());
            }
        }
        cluster.advance(PROPAGATION_MILLIS);
    }

    private Map<String, Integer> total(String name) {
        return cluster.process(name).usage().total(window);
    }

    private boolean isHub(String name) {
        return cluster.process(name).isHub();
    }

    private List<String> replicas(String dataCentre) {
        return cluster.namesOf(dataCentre).stream()
                .filter(name -> !isHub(name))
                .filter(name -> total(name).equals(Map.of("t", PROCESSES * REQUESTS_PER_PROCESS)))
                .toList();
    }

    @Example
    void leavesOfEachDataCentreStoreTheUsageOfAll() {
        for (int i = 0; i < DATA_CENTRES; i++) {
            assertTrue(replicas("dc" + i).size() >= 2, "keepers in dc" + i);
        }
    }

    /** All hubs and all but a few leaves lose power; one of the few keeps what all had counted. */
    @Property(tries = 10, seed = "20261203")
    void fewSurvivingLeavesKnowTheUsageOfAll(@ForAll @IntRange(max = 1_000) int seed) {
        UsageHistoriesTest fresh = new UsageHistoriesTest();
        fresh.loseAllButAFew(new Random(seed));
    }

    private void loseAllButAFew(Random random) {
        List<String> keepers = new ArrayList<>(replicas("dc" + random.nextInt(DATA_CENTRES)));
        assertTrue(!keepers.isEmpty(), "a leaf keeps what all had counted");
        String keeper = keepers.get(random.nextInt(keepers.size()));
        List<String> leaves =
                new ArrayList<>(cluster.names().stream().filter(name -> !isHub(name)).toList());
        Collections.shuffle(leaves, random);
        leaves.remove(keeper);
        List<String> left = new ArrayList<>(leaves.subList(0, SURVIVORS - 1));
        left.add(keeper);
        cluster.names().stream().filter(name -> !left.contains(name)).forEach(cluster::losePower);
        cluster.advance(RECONNECTION_MILLIS);
        List<String> hubs = left.stream().filter(this::isHub).toList();
        assertTrue(!hubs.isEmpty(), "some are hubs now");
        for (String hub : hubs) {
            assertEquals(Map.of("t", PROCESSES * REQUESTS_PER_PROCESS), total(hub), hub + " of " + left);
        }
    }
}
