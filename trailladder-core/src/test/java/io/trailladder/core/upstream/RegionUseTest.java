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

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Sums of a region's work for other regions, and their distribution over its upstreams there.
 * Guards against work that is lost or counted twice.
 */
class RegionUseTest {
    private static Upstream upstream(String id, String service, String dataCentre) {
        return new Upstream(id, service, dataCentre, "h:1", 8, false, false, 0);
    }

    @Property(tries = 200, seed = "20261203")
    void spreadingKeepsTheSum(
            @ForAll @IntRange(max = 5_000) int requests,
            @ForAll @IntRange(max = 2_000_000) int tokens,
            @ForAll @IntRange(min = 1, max = 40) int upstreams) {
        List<Upstream> known = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            known.add(upstream("w" + i, "s", "b"));
        }
        known.add(upstream("other", "t", "b"));
        known.add(upstream("here", "s", "a"));
        UpstreamUse sum = new UpstreamUse(RegionUse.name("b", "s"), requests, tokens);
        List<UpstreamUse> single = RegionUse.spread(List.of(sum), "b", known, dc -> dc);
        assertEquals(requests, single.stream().mapToInt(UpstreamUse::requests).sum());
        assertEquals(tokens, single.stream().mapToInt(UpstreamUse::promptTokens).sum());
        assertTrue(single.stream().allMatch(use -> use.upstream().startsWith("w")));
        int max = single.stream().mapToInt(UpstreamUse::requests).max().orElse(0);
        assertTrue(max <= requests / upstreams + 1);
    }

    @Example
    void upstreamsOfOtherRegionsStaySingleAndUnknownOnesAreLeftOut() {
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.changed(upstream("x", "s", "a"));
        directory.changed(upstream("y", "s", "a"));
        directory.changed(upstream("far", "s", "b"));
        List<UpstreamUse> uses =
                List.of(
                        new UpstreamUse("x", 1, 10),
                        new UpstreamUse("y", 2, 20),
                        new UpstreamUse("far", 3, 30),
                        new UpstreamUse("gone", 4, 40));
        List<UpstreamUse> reported = RegionUse.of(uses, directory::find, "a", "a"::equals);
        UpstreamUse sum = new UpstreamUse(RegionUse.name("a", "s"), 3, 30);
        assertEquals(List.of(new UpstreamUse("far", 3, 30), sum), reported);
    }

    @Example
    void sumOfAServiceWithoutKnownUpstreamsIsLeftOut() {
        UpstreamUse sum = new UpstreamUse(RegionUse.name("b", "s"), 3, 30);
        assertEquals(List.of(), RegionUse.spread(List.of(sum), "b", List.of(), dc -> dc));
        assertEquals(Optional.empty(), new UpstreamDirectory().find(sum.upstream()));
    }
}
