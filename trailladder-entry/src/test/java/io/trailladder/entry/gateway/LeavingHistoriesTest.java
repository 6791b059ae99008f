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

import io.trailladder.core.upstream.LeavingUpstream;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import io.trailladder.wire.NodeMessage.NodeDigest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * A wave of upstreams leaves while the store tells nobody. Each says so in an answer to one of 30
 * processes, and all others learn it from there, while processes and links fail.
 */
class LeavingHistoriesTest {
    private static final int DATA_CENTRES = 3;
    private static final int PROCESSES_PER_DATA_CENTRE = 10;

    /** The reclaimable part of a data centre of 825. */
    private static final int LEAVING_UPSTREAMS = 355;

    /** How long an upstream that leaves goes on serving, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    private final SimulatedCluster cluster = new SimulatedCluster(DATA_CENTRES, PROCESSES_PER_DATA_CENTRE, 10_000);

    private static String id(int leaver) {
        return "i-" + (1_000_000 + leaver);
    }

    private static Optional<LeavingUpstream> unlessRemoved(String id) {
        return id.equals("gone") ? Optional.empty() : Optional.of(new LeavingUpstream(id, 5));
    }

    private void listAll() {
        cluster.advance(5_000);
        for (int i = 0; i < LEAVING_UPSTREAMS; i++) {
            Upstream upstream = new Upstream(id(i), "s", "dc0", "h:1", 8, false, true, 0);
            for (String name : cluster.names()) {
                cluster.process(name).upstreams().changed(upstream);
            }
        }
        cluster.advance(1_000);
    }

    private void announceLeaving() {
        List<String> names = cluster.names();
        for (int i = 0; i < LEAVING_UPSTREAMS; i++) {
            DirectoryManager directory = cluster.process(names.get(i % names.size())).directory();
            directory.leavingAnnouncedBy(directory.find(id(i)).orElseThrow());
        }
    }

    private int unknownPairs() {
        int unknown = 0;
        for (String name : cluster.names()) {
            for (int i = 0; i < LEAVING_UPSTREAMS; i++) {
                unknown += cluster.process(name).directory().isLeaving(id(i)) ? 0 : 1;
            }
        }
        return unknown;
    }

    private void assertAllKnowWithin(long millis, Consumer<SimulatedCluster> trouble) {
        listAll();
        announceLeaving();
        trouble.accept(cluster);
        long begun = cluster.now();
        while (unknownPairs() > 0 && cluster.now() - begun < millis) {
            cluster.advance(100);
        }
        assertEquals(0, unknownPairs(), "pairs of process and leaver not known " + millis + " ms later");
    }

    @Example
    void waveIsKnownToAllBeforeItsUpstreamsEnd() {
        assertAllKnowWithin(DRAIN_MILLIS, all -> {});
    }

    @Example
    void dataCentreThatWasCutOffLearnsOfTheWaveAfterwards() {
        assertAllKnowWithin(
                15_000,
                all -> {
                    Set<String> cutOff = new HashSet<>(all.namesOf("dc1"));
                    all.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
                    all.advance(5_500);
                    all.cut((one, other) -> false);
                });
    }

    @Example
    void frozenHubsLoseNoLeavingUpstream() {
        assertAllKnowWithin(
                15_000,
                all -> {
                    all.advance(200);
                    List<String> hubs =
                            all.names().stream().filter(n -> all.process(n).isHub()).toList();
                    hubs.forEach(name -> all.freeze(name, true));
                    all.advance(3_500);
                    hubs.forEach(name -> all.freeze(name, false));
                });
    }

    @Example
    void digestsNameOnlyListedUpstreamsThatLeave() {
        LeavingUpdates news = new LeavingUpdates(LeavingHistoriesTest::unlessRemoved);
        assertTrue(news.next(0).isEmpty());
        news.began("gone", 0);
        assertTrue(news.next(0).isEmpty(), "one that is not listed any more");
        news.began("listed", 0);
        assertEquals(
                List.of(new LeavingUpstream("listed", 5)),
                news.next(UpdateRotation.FRESH_MILLIS - 1));
    }

    @Example
    void everyLeavingUpstreamIsNamedInRotation() {
        LeavingUpdates news = new LeavingUpdates(LeavingHistoriesTest::unlessRemoved);
        Set<LeavingUpstream> fresh = new HashSet<>();
        Set<LeavingUpstream> older = new HashSet<>();
        for (int i = 0; i < LEAVING_UPSTREAMS; i++) {
            news.began(id(i), 0);
        }
        for (int digest = 0; digest * LeavingUpdates.MAX_PER_DIGEST < LEAVING_UPSTREAMS; digest++) {
            List<LeavingUpstream> told = news.next(0);
            assertTrue(
                    told.size() <= LeavingUpdates.MAX_PER_DIGEST, told.size() + " in one digest");
            fresh.addAll(told);
        }
        for (int digest = 0; digest * LeavingUpdates.MAX_REPEATED < LEAVING_UPSTREAMS; digest++) {
            List<LeavingUpstream> told = news.next(UpdateRotation.FRESH_MILLIS);
            assertTrue(told.size() <= LeavingUpdates.MAX_REPEATED, told.size() + " at rest");
            older.addAll(told);
        }
        assertEquals(LEAVING_UPSTREAMS, fresh.size());
        assertEquals(LEAVING_UPSTREAMS, older.size());
    }

    /** Builds without the section read the names; an unfitting section tells no lives. */
    @Example
    void incarnationsAreSentBesideTheNamesThatAllBuildsRead() {
        List<LeavingUpstream> leaving =
                List.of(new LeavingUpstream("a", 7), new LeavingUpstream("b", 0));
        DigestSection lives = LeavingIncarnations.section(leaving).orElseThrow();
        assertEquals(leaving, LeavingIncarnations.of(digest(List.of("a", "b"), List.of(lives))));
        List<LeavingUpstream> unknown =
                List.of(new LeavingUpstream("a", 0), new LeavingUpstream("b", 0));
        assertEquals(unknown, LeavingIncarnations.of(digest(List.of("a", "b"), List.of())));
        assertEquals(
                List.of(new LeavingUpstream("a", 0)),
                LeavingIncarnations.of(digest(List.of("a"), List.of(lives))));
        assertTrue(LeavingIncarnations.section(unknown).isEmpty(), "nothing to tell");
    }

    private static NodeDigest digest(List<String> leaving, List<DigestSection> sections) {
        return new NodeDigest(
                1,
                1,
                true,
                false,
                DigestScope.GROUP,
                1,
                1,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                leaving,
                sections);
    }
}
