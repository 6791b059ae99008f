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
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;

/** Gateways that lose their own links to all upstreams, and nothing else. */
class LostPathFaultTest {
    private static final String[] SIX = {"a", "a", "a", "b", "b", "b"};
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
        servesAsTheOthersDo(List.of(1, 4), Mode.HANG);
    }

    /** Guards against callers being refused because a gateway's links to upstreams are reset. */
    @Example
    void callersAreServedByAGatewayWhoseLinksToUpstreamsAreReset() throws Exception {
        servesAsTheOthersDo(List.of(0, 2), Mode.CUT);
    }

    /** Guards against callers being refused because a gateway cannot open new connections. */
    @Example
    void callersAreServedByAGatewayThatOnlyKeepsItsOldConnections() throws Exception {
        servesAsTheOthersDo(4, RARE_MILLIS, List.of(1, 4), Mode.REFUSE_NEW);
    }

    /** Guards against relaying only within a data centre, or to gateways that are cut as well. */
    @Example
    void callersAreServedWhileAllGatewaysOfADataCentreAreCut() throws Exception {
        servesAsTheOthersDo(List.of(0, 1, 2), Mode.HANG);
    }

    /** Guards against relaying only where no upstream is reached at all. */
    @Example
    void callersAreServedWhileTheUpstreamsOfOneServiceAreNotReached() throws Exception {
        check(
                new Case(List.of(1, 4), 1, OFTEN_MILLIS, SIX),
                cluster -> {
                    for (int gateway : List.of(1, 4)) {
                        cluster.links(gateway, List.of(1, 3), Mode.HANG);
                    }
                });
    }

    /** Guards against relying on a peer that has ended. */
    @Example
    void callersAreServedAfterAPeerThatRelaysForThemIsKilled() throws Exception {
        check(
                new Case(List.of(1, 2), 1, OFTEN_MILLIS, SIX),
                cluster -> {
                    cluster.links(1, Mode.HANG);
                    cluster.links(2, Mode.HANG);
                    Thread.sleep(500);
                    cluster.gateway(0).kill();
                });
    }

    /** Guards against needing the store to find peers. */
    @Example
    void callersAreServedByACutGatewayWithoutTheStore() throws Exception {
        check(
                new Case(List.of(0, 1, 4), 1, OFTEN_MILLIS, SIX),
                cluster -> {
                    for (int gateway = 0; gateway < SIX.length; gateway++) {
                        cluster.gateway(gateway).store().mode(Mode.SILENT);
                    }
                    for (int gateway : List.of(0, 1, 4)) {
                        cluster.links(gateway, Mode.CUT);
                    }
                });
    }

    /** Guards against losing requests each time the links go and come back. */
    @Example
    void callersAreServedThroughSeveralShortCuts() throws Exception {
        check(
                new Case(List.of(1, 4), 1, OFTEN_MILLIS, SIX),
                cluster -> {
                    Thread repeated =
                            new Thread(
                                    () -> {
                                        try {
                                            for (int i = 0; i < 5; i++) {
                                                cluster.links(1, Mode.CUT);
                                                cluster.links(4, Mode.HANG);
                                                Thread.sleep(500);
                                                cluster.links(1, Mode.PASS);
                                                cluster.links(4, Mode.PASS);
                                                Thread.sleep(500);
                                            }
                                        } catch (IOException | InterruptedException e) {
                                            throw new IllegalStateException(e);
                                        }
                                    });
                    repeated.start();
                });
    }

    /** Guards against requests refused everywhere because one gateway's connections are reset. */
    @Example
    void connectionsThatAreResetAtOneGatewayBlameNoRequest() throws Exception {
        check(
                new Case(List.of(2), 1, OFTEN_MILLIS, SIX),
                cluster -> {
                    for (int i = 0; i < 12; i++) {
                        cluster.links(2, Mode.CUT);
                        Thread.sleep(50);
                        cluster.links(2, Mode.PASS);
                        Thread.sleep(150);
                    }
                });
    }

    private static void servesAsTheOthersDo(List<Integer> cut, Mode mode) throws Exception {
        servesAsTheOthersDo(1, OFTEN_MILLIS, cut, mode);
    }

    private static void servesAsTheOthersDo(
            int threads, long pauseMillis, List<Integer> cut, Mode mode) throws Exception {
        check(
                new Case(cut, threads, pauseMillis, SIX),
                cluster -> {
                    for (int gateway : cut) {
                        cluster.links(gateway, mode);
                    }
                });
    }

    /** Cuts links of gateways, and perhaps does more. */
    private interface Strike {
        void run(PathCluster cluster) throws Exception;
    }

    /**
     * What is checked.
     *
     * @param cut the gateways whose links are cut
     * @param threads number of callers of each kind of request at each gateway
     * @param pauseMillis pause of a caller between two requests, in milliseconds
     * @param dataCentres the data centre of each gateway
     */
    private record Case(List<Integer> cut, int threads, long pauseMillis, String... dataCentres) {}

    /** Checks that the cut gateways serve as the others do, and that these lose nothing. */
    private static void check(Case checked, Strike strike) throws Exception {
        AtomicBoolean counting = new AtomicBoolean();
        try (PathCluster cluster = new PathCluster(checked.dataCentres())) {
            List<Tally> tallies =
                    cluster.callWhile(
                            checked.threads(),
                            checked.pauseMillis(),
                            () -> {
                                cluster.awaitWarm();
                                strike.run(cluster);
                                Thread.sleep(NOTICED_MILLIS);
                                counting.set(true);
                                Thread.sleep(COUNTED_MILLIS);
                                cluster.awaitTries(MIN_TRIES);
                                counting.set(false);
                                for (int gateway : checked.cut()) {
                                    cluster.links(gateway, Mode.PASS);
                                }
                                Thread.sleep(1_000);
                            },
                            counting::get);
            double others = 1;
            for (int i = 0; i < tallies.size(); i++) {
                boolean other = !checked.cut().contains(i) && cluster.gateway(i).isRunning();
                others = other ? Math.min(others, tallies.get(i).share()) : others;
            }
            String seen = tallies + ", cut: " + checked.cut() + ", logs: " + cluster.folder();
            assertTrue(others >= MIN_SHARE, "the others served fewer: " + seen);
            for (int gateway : checked.cut()) {
                Tally tally = tallies.get(gateway);
                assertTrue(tally.asked() >= MIN_TRIES, seen);
                assertTrue(tally.share() >= MIN_SHARE * others, seen);
            }
            assertEquals(List.of(), cluster.violations());
        }
    }
}
