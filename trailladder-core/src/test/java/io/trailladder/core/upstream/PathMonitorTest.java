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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.upstream.PathMonitor.Change;
import io.trailladder.core.upstream.PathMonitor.State;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class PathMonitorTest {
    private final List<Change> changes = new ArrayList<>();
    private final PathMonitor paths = new PathMonitor(changes::add);

    /** Guards against taking the loss of one upstream for the loss of the own path. */
    @Example
    void oneUpstreamThatFailsSaysNothingOfTheOthers() {
        paths.failed("u1", 1_000);
        paths.failed("u1", 1_100);
        paths.openedThroughPeer("u1", 1_110);
        assertEquals(State.DIRECT, paths.state());
        assertTrue(paths.prefersRelay("u1"), "a peer reaches it");
        assertFalse(paths.prefersRelay("u2"), "nothing is known of it");
    }

    /** Guards against taking the loss of all upstreams for the loss of the own path. */
    @Example
    void upstreamsThatNoPeerReachesDoNotIsolate() {
        paths.failed("u1", 1_000);
        paths.failed("u2", 1_100);
        paths.failedThroughPeer("u1", 1_110);
        paths.failedThroughPeer("u2", 1_120);
        assertEquals(List.of(new Change(State.FAILING, 2, 0, 100)), changes);
        assertFalse(paths.isIsolated(1_130));
        assertFalse(paths.prefersRelay("u1"));
    }

    @Example
    void peersAreNotAskedAgainAtOnceForAnUpstreamThatTheyDoNotReach() {
        paths.failedThroughPeer("u1", 1_000);
        assertFalse(paths.mayRelay("u1", 1_999));
        assertTrue(paths.mayRelay("u1", 2_000));
        assertTrue(paths.mayRelay("u2", 1_000));
        paths.failedThroughPeer("u2", 1_000);
        paths.opened("u2", 1_001);
        assertTrue(paths.mayRelay("u2", 1_002), "it is back");
    }

    @Example
    void severalUpstreamsThatOnlyPeersReachIsolate() {
        paths.failed("u1", 1_000);
        paths.openedThroughPeer("u1", 1_005);
        paths.failed("u2", 1_050);
        paths.openedThroughPeer("u2", 1_060);
        assertEquals(State.ISOLATED, paths.state());
        assertEquals(new Change(State.ISOLATED, 2, 2, 60), changes.get(changes.size() - 1));
        assertTrue(paths.isIsolated(1_060));
        assertTrue(paths.prefersRelay("u3"), "the path to all is lost");
        assertTrue(paths.isIsolated(1_060 + PathMonitor.ISOLATION_MEMORY_MILLIS));
        assertFalse(
                paths.isIsolated(1_061 + PathMonitor.ISOLATION_MEMORY_MILLIS),
                "without requests it is not known whether the path is back");
    }

    /** Guards against every request asking all peers while the upstreams themselves are gone. */
    @Example
    void peersAreLeftAloneWhileNoneReachesAnything() {
        paths.noPeerReaches(5_000);
        assertFalse(paths.mayRelay("u1", 5_499));
        assertTrue(paths.mayRelay("u1", 5_500));
        paths.openedThroughPeer("u1", 5_500);
        paths.noPeerReaches(6_500);
        assertTrue(paths.mayRelay("u2", 6_500), "a peer has just reached one");
    }

    /** Guards against relaying on after the own path is back. */
    @Example
    void oneDirectConnectionEndsIsolation() {
        paths.openedThroughPeer("u1", 1_000);
        paths.openedThroughPeer("u2", 1_010);
        paths.openedThroughPeer("u3", 1_020);
        paths.opened("u2", 3_000);
        assertEquals(State.DIRECT, paths.state());
        assertFalse(paths.prefersRelay("u1"), "the paths were lost together");
        assertEquals(new Change(State.DIRECT, 3, 3, 2_000), changes.get(changes.size() - 1));
    }

    /** Guards against forgetting that single upstreams are reached through peers only. */
    @Example
    void upstreamsBehindALostPathStayKnownWhileOthersAreReached() {
        paths.openedThroughPeer("u1", 1_000);
        for (int i = 0; i < 100; i++) {
            paths.opened("u2", 1_010 + i);
        }
        assertTrue(paths.prefersRelay("u1"));
        paths.opened("u1", 2_000);
        assertFalse(paths.prefersRelay("u1"));
    }

    @Example
    void changesAreReportedOnce() {
        for (int i = 0; i < 50; i++) {
            paths.failed("u" + i, 1_000);
            paths.openedThroughPeer("u" + i, 1_000);
        }
        assertEquals(
                List.of(State.FAILING, State.ISOLATED),
                changes.stream().map(Change::state).toList());
    }
}
