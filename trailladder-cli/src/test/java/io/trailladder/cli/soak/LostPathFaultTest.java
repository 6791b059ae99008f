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
package io.trailladder.cli.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.cli.soak.FaultProxy.Mode;
import io.trailladder.cli.soak.PathCluster.Tally;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;

/** Gateways that lose their own links to all upstreams, and nothing else. */
class LostPathFaultTest {
    private static final int MIN_TRIES = 40;

    /**
     * Share of the first tries that the other gateways serve, of which the cut ones serve as many.
     */
    private static final double MIN_SHARE = 0.95;

    private static final long OFTEN_MILLIS = 20;

    /** Longer than gateways keep idle connections for requests that may run once. */
    private static final long RARE_MILLIS = 600;

    private static final long NOTICED_MILLIS = 1_300;
    private static final long COUNTED_MILLIS = 3_000;

    /** Guards against callers being refused because a gateway's links to upstreams hang. */
    @Example
    void callersAreServedByAGatewayWhoseLinksToUpstreamsHang() throws Exception {
        servesAsTheOthersDo(List.of(1, 4), Mode.HANG, "a", "a", "a", "b", "b", "b");
    }

    /** Guards against callers being refused because a gateway's links to upstreams are reset. */
    @Example
    void callersAreServedByAGatewayWhoseLinksToUpstreamsAreReset() throws Exception {
        servesAsTheOthersDo(List.of(0, 2), Mode.CUT, "a", "a", "a", "b", "b", "b");
    }

    /** Guards against callers being refused because a gateway cannot open new connections. */
    @Example
    void callersAreServedByAGatewayThatOnlyKeepsItsOldConnections() throws Exception {
        servesAsTheOthersDo(
                4, RARE_MILLIS, List.of(1, 4), Mode.REFUSE_NEW, "a", "a", "a", "b", "b", "b");
    }

    /** Guards against relaying only within a data centre, or to gateways that are cut as well. */
    @Example
    void callersAreServedWhileAllGatewaysOfADataCentreAreCut() throws Exception {
        servesAsTheOthersDo(List.of(0, 1, 2), Mode.HANG, "a", "a", "a", "b", "b", "b");
    }

    private static void servesAsTheOthersDo(List<Integer> cut, Mode mode, String... dataCentres)
            throws Exception {
        servesAsTheOthersDo(1, OFTEN_MILLIS, cut, mode, dataCentres);
    }

    private static void servesAsTheOthersDo(
            int threads, long pauseMillis, List<Integer> cut, Mode mode, String... dataCentres)
            throws Exception {
        AtomicBoolean counting = new AtomicBoolean();
        try (PathCluster cluster = new PathCluster(dataCentres)) {
            List<Tally> tallies =
                    cluster.callWhile(
                            threads,
                            pauseMillis,
                            () -> {
                                Thread.sleep(1_000);
                                for (int gateway : cut) {
                                    cluster.links(gateway, mode);
                                }
                                Thread.sleep(NOTICED_MILLIS);
                                counting.set(true);
                                Thread.sleep(COUNTED_MILLIS);
                                counting.set(false);
                                for (int gateway : cut) {
                                    cluster.links(gateway, Mode.PASS);
                                }
                                Thread.sleep(1_000);
                            },
                            counting::get);
            double others = 1;
            for (int i = 0; i < tallies.size(); i++) {
                others = cut.contains(i) ? others : Math.min(others, tallies.get(i).share());
            }
            for (int gateway : cut) {
                Tally tally = tallies.get(gateway);
                String seen = tallies + ", cut: " + cut + ", logs: " + cluster.folder();
                assertTrue(tally.asked() >= MIN_TRIES, seen);
                assertTrue(tally.share() >= MIN_SHARE * others, seen);
            }
            assertTrue(others >= MIN_SHARE, "the others served fewer: " + tallies);
            assertEquals(List.of(), cluster.violations());
        }
    }
}
