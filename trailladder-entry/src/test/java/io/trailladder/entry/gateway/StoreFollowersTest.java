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
    private static final int OF_EACH = 12;
    private static final int MOST_FOLLOWERS = 3;
    private static final long CALM_MILLIS = 4_000;

    /** What a follower's loss may take to be noticed: a stale digest, and a look at the roles. */
    private static final long NOTICE_MILLIS = 1_200;

    /** Two messages, from follower to hub to leaf, in steps of 20 ms. */
    private static final long PASSED_ON_MILLIS = 60;

    private final SimulatedCluster cluster = new SimulatedCluster(DATA_CENTRES, OF_EACH, 10_000);
    private long revision = 100;

    private void change() {
        revision++;
        byte[] value = {1};
        cluster.storeTells(
                new StoreItem("upstream/u" + revision, value, revision, revision, false));
    }

    private List<String> calmFollowers() {
        cluster.pass(CALM_MILLIS);
        change();
        cluster.pass(CALM_MILLIS);
        return cluster.followers();
    }

    @Example
    void inCalmTimesThreeHubsOfDifferentDataCentresFollowTheStore() {
        List<String> followers = calmFollowers();
        assertEquals(MOST_FOLLOWERS, followers.size(), followers.toString());
        HashSet<String> dataCentres = new HashSet<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            if (cluster.namesOf("dc" + i).stream().anyMatch(followers::contains)) {
                dataCentres.add("dc" + i);
            }
        }
        assertEquals(MOST_FOLLOWERS, dataCentres.size(), followers.toString());
    }

    @Example
    void aChangeIsPassedOnToAllAtOnce() {
        calmFollowers();
        change();
        cluster.pass(PASSED_ON_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
    }

    @Example
    void afterTheLossOfAllFollowersOthersFollowAndNothingIsMissed() {
        for (String lost : calmFollowers()) {
            cluster.losePower(lost);
        }
        cluster.pass(NOTICE_MILLIS);
        assertTrue(!cluster.followers().isEmpty(), "nobody follows the store");
        change();
        cluster.pass(NOTICE_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
    }

    @Example
    void hubsThatTheStoreTurnsAwayAreReplaced() {
        List<String> followers = calmFollowers();
        followers.forEach(name -> cluster.storeAnswers(name, false));
        cluster.pass(NOTICE_MILLIS);
        List<String> others = cluster.followers();
        assertTrue(!followers.containsAll(others), others + " follow, of " + followers);
        change();
        cluster.pass(NOTICE_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
    }

    @Example
    void aDataCentreThatIsCutOffFollowsTheStoreItself() {
        calmFollowers();
        List<String> apart = cluster.namesOf("dc5");
        cluster.cut((one, other) -> apart.contains(one) && !apart.contains(other));
        cluster.pass(CALM_MILLIS);
        assertTrue(cluster.followers().stream().anyMatch(apart::contains));
        change();
        cluster.pass(NOTICE_MILLIS);
        assertEquals(List.of(), cluster.behind(revision));
        cluster.cut((one, other) -> false);
        cluster.pass(2 * CALM_MILLIS);
        assertEquals(MOST_FOLLOWERS, cluster.followers().size());
    }
}
