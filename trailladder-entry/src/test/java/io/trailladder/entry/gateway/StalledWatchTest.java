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

import java.util.List;
import net.jqwik.api.Example;

/**
 * A process that follows the store for others hears nothing of it any more, though its watch waits
 * and its other calls are answered: what changes is known to all within two seconds all the same.
 */
class StalledWatchTest {
    private static final long SETTLE_MILLIS = 4_000;
    private static final long PROPAGATION_MILLIS = 2_000;

    private SimulatedCluster cluster;
    private SimulatedStore store;

    private void start(int dataCentres, int ofEach) {
        cluster = new SimulatedCluster(dataCentres, ofEach, 10_000);
        store = new SimulatedStore(cluster, 0);
        cluster.advance(SETTLE_MILLIS);
        store.put("u0");
        cluster.advance(SETTLE_MILLIS);
        assertEquals(List.of(), store.behind());
    }

    private void assertKnownWithin(long millis) {
        long until = cluster.now() + millis;
        while (cluster.now() < until && !store.behind().isEmpty()) {
            cluster.advance(100);
        }
        assertEquals(List.of(), store.behind(), "not known after " + millis + " ms");
    }

    // Guards against leaves that wait with their hub for a watch that hears nothing.
    private void assertChangesAreKnownDespiteAStalledWatch(int dataCentres, int ofEach) {
        start(dataCentres, ofEach);
        for (String follower : store.watching()) {
            store.stallWatch(follower);
            store.remove("u1");
            assertKnownWithin(PROPAGATION_MILLIS);
            store.put("u1");
            assertKnownWithin(PROPAGATION_MILLIS);
            cluster.advance(SETTLE_MILLIS);
        }
    }

    @Example
    void sixProcesses() {
        assertChangesAreKnownDespiteAStalledWatch(1, 6);
    }

    @Example
    void fourteenProcesses() {
        assertChangesAreKnownDespiteAStalledWatch(1, 14);
    }

    @Example
    void ninetyFiveProcesses() {
        assertChangesAreKnownDespiteAStalledWatch(5, 19);
    }

    @Example
    void threeHundredAndFortyProcesses() {
        assertChangesAreKnownDespiteAStalledWatch(8, 42);
    }

    // Guards against lists of the store that are read anew because others were.
    @Example
    void restartOfAFollowerCausesFewLists() {
        start(3, 10);
        int before = store.listCalls();
        String follower = store.watching().get(0);
        cluster.kill(follower);
        cluster.restart(follower);
        cluster.advance(20_000);
        int more = store.listCalls() - before;
        assertTrue(more <= 6, more + " lists");
        assertEquals(List.of(), store.behind());
    }
}
