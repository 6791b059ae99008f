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

import io.trailladder.entry.port.StoreItem;
import java.util.HashSet;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Few processes follow the store for all, and the others miss nothing when these are lost, cut off
 * or turned away by the store.
 */
class StoreFollowersTest {
    private static final int DATA_CENTRES = 6;
    private static final int PROCESSES_PER_DATA_CENTRE = 12;
    private static final int MAX_FOLLOWERS = 3;
    private static final long SETTLE_MILLIS = 4_000;

    /** What a follower's loss may take to be noticed: a stale digest, and a look at the roles. */
    private static final long DETECTION_MILLIS = 1_200;

    /** Two messages, from follower to hub to leaf, in steps of 20 ms. */
    private static final long FORWARDING_MILLIS = 60;

    private final SimulatedCluster cluster = new SimulatedCluster(DATA_CENTRES, PROCESSES_PER_DATA_CENTRE, 10_000);
    private long revision = 100;

    private void change() {
        revision++;
        byte[] value = {1};
        cluster.deliverStoreChange(
                new StoreItem("upstream/u" + revision, value, revision, revision, false));
    }

    private List<String> settledFollowers() {
        cluster.advance(SETTLE_MILLIS);
        change();
        cluster.advance(SETTLE_MILLIS);
        return cluster.followers();
    }

    @Example
    void threeHubsOfDifferentDataCentresFollowTheStoreWithoutFailures() {
        List<String> followers = settledFollowers();
        assertEquals(MAX_FOLLOWERS, followers.size(), followers.toString());
        HashSet<String> dataCentres = new HashSet<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            if (cluster.namesOf("dc" + i).stream().anyMatch(followers::contains)) {
                dataCentres.add("dc" + i);
            }
        }
        assertEquals(MAX_FOLLOWERS, dataCentres.size(), followers.toString());
    }

    @Example
    void changeIsForwardedToAllAtOnce() {
        settledFollowers();
        change();
        cluster.advance(FORWARDING_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
    }

    @Example
    void afterTheLossOfAllFollowersOthersFollowAndNothingIsMissed() {
        for (String lost : settledFollowers()) {
            cluster.losePower(lost);
        }
        cluster.advance(DETECTION_MILLIS);
        assertTrue(!cluster.followers().isEmpty(), "nobody follows the store");
        change();
        cluster.advance(DETECTION_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
    }

    @Example
    void hubsRefusedByTheStoreAreReplaced() {
        List<String> followers = settledFollowers();
        followers.forEach(name -> cluster.setStoreReachable(name, false));
        cluster.advance(DETECTION_MILLIS);
        List<String> others = cluster.followers();
        assertTrue(!followers.containsAll(others), others + " follow, of " + followers);
        change();
        cluster.advance(DETECTION_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
    }

    @Example
    void dataCentreThatIsCutOffFollowsTheStoreItself() {
        settledFollowers();
        List<String> apart = cluster.namesOf("dc5");
        cluster.cut((one, other) -> apart.contains(one) && !apart.contains(other));
        cluster.advance(SETTLE_MILLIS);
        assertTrue(cluster.followers().stream().anyMatch(apart::contains));
        change();
        cluster.advance(DETECTION_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
        cluster.cut((one, other) -> false);
        cluster.advance(2 * SETTLE_MILLIS);
        assertEquals(MAX_FOLLOWERS, cluster.followers().size());
    }
}
