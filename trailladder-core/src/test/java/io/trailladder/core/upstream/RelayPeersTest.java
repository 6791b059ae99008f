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
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.topology.Topology;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

class RelayPeersTest {
    private static final long NOW = 10_000;

    private final RelayPeers choice =
            new RelayPeers(
                    "self",
                    Topology.of("a1", Map.of("a1", "a", "a2", "a", "b1", "b")),
                    new SplittableRandom(1));

    private static GatewayMember member(String name, String dataCentre) {
        return new GatewayMember(name, dataCentre, "10.0.0.1:1", 1, 1);
    }

    private Optional<String> choose(List<GatewayMember> peers, String... excluded) {
        return choice.choose(peers, Set.of(excluded), NOW).map(GatewayMember::name);
    }

    @Example
    void nearPeersComeFirst() {
        List<GatewayMember> peers =
                List.of(
                        member("far", "b1"),
                        member("self", "a1"),
                        member("near", "a1"),
                        member("region", "a2"));
        assertEquals(Optional.of("near"), choose(peers));
        assertEquals(Optional.of("region"), choose(peers, "near"));
        assertEquals(Optional.of("far"), choose(peers, "near", "region"));
        assertEquals(Optional.empty(), choose(peers, "near", "region", "far"));
    }

    /** Guards against one peer carrying everything. */
    @Example
    void connectionsAreSpreadEvenly() {
        List<GatewayMember> peers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            peers.add(member("p" + i, "a1"));
        }
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            GatewayMember peer = choice.choose(peers, Set.of(), NOW).orElseThrow();
            choice.opened(peer);
            counts.merge(peer.name(), 1, Integer::sum);
        }
        counts.values().forEach(count -> assertEquals(20, count, counts.toString()));
        choice.ended(peers.get(3));
        assertEquals(Optional.of("p3"), choose(peers));
    }

    /** Guards against filling the narrow link of a small instance. */
    @Example
    void peersCarryInProportionToTheirBandwidth() {
        GatewayMember wide = new GatewayMember("wide", "a1", "10.0.0.1:1", 200, 1);
        GatewayMember narrow = new GatewayMember("narrow", "a1", "10.0.0.2:1", 10, 1);
        int throughWide = 0;
        for (int i = 0; i < 210; i++) {
            GatewayMember peer = choice.choose(List.of(wide, narrow), Set.of(), NOW).orElseThrow();
            choice.opened(peer);
            throughWide += peer.equals(wide) ? 1 : 0;
        }
        assertEquals(200, throughWide, 1);
    }

    @Example
    void aPeerThatRefusedIsAvoidedLongerEachTime() {
        GatewayMember one = member("one", "a1");
        GatewayMember two = member("two", "a2");
        choice.refused(one, NOW);
        assertEquals(Optional.of("two"), choose(List.of(one, two)));
        long over = NOW + RelayPeers.MIN_AVOID_MILLIS;
        assertEquals(one, choice.choose(List.of(one, two), Set.of(), over).orElseThrow());
        choice.refused(one, over);
        assertEquals(
                two,
                choice.choose(List.of(one, two), Set.of(), over + RelayPeers.MIN_AVOID_MILLIS)
                        .orElseThrow());
        choice.opened(one);
        choice.ended(one);
        assertEquals(Optional.of("one"), choose(List.of(one, two)));
    }

    /** Guards against asking all peers of a data centre that is cut as a whole. */
    @Example
    void peersOfADataCentreWhereSeveralRefusedComeAfterThoseOfOthers() {
        List<GatewayMember> peers = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            peers.add(member("cut" + i, "a1"));
        }
        peers.add(member("whole", "a2"));
        Set<String> asked = new HashSet<>();
        GatewayMember next = choice.choose(peers, asked, NOW).orElseThrow();
        while (!next.name().equals("whole")) {
            asked.add(next.name());
            choice.refused(next, NOW);
            next = choice.choose(peers, asked, NOW).orElseThrow();
        }
        assertEquals(RelayPeers.MAX_REFUSALS, asked.size());
        assertTrue(choose(peers).orElseThrow().equals("whole"), "the next request, too");
    }
}
