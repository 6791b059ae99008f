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
package io.trailladder.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.membership.LocalUpstreamDirectory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;

/** The router keeps to the data centre, to upstreams that stay, and to cached prefixes. */
class RouterTest {
    private static final String PROMPT = "un expediente familiar ".repeat(200);

    private final LocalUpstreamDirectory directory = new LocalUpstreamDirectory();
    private final Router router = new Router("baires-a", directory, 42);

    private static LocalUpstream engine(String id, String dataCentre) {
        return new LocalUpstream(id, dataCentre, "127.0.0.1:1", "modelo-hipo");
    }

    private static RoutingQuery query(String prompt) {
        PromptBlocks blocks = PromptBlocks.of("banco-sur", "modelo-hipo", prompt);
        return new RoutingQuery("modelo-hipo", blocks, 200, Set.of());
    }

    @Example
    void neverChoosesOutsideItsDataCentre() {
        directory.listed(List.of(engine("b1", "baires-b")), List.of());
        assertEquals(Optional.empty(), router.choose(query(PROMPT), 0).chosen());
    }

    @Example
    void leavingUpstreamGetsNoNewWorkThoughTheListStillCallsItLive() {
        List<LocalUpstream> list = List.of(engine("a1", "baires-a"), engine("a2", "baires-a"));
        directory.listed(list, List.of());
        directory.leavingNoticed("a1");
        directory.listed(list, List.of());
        for (int i = 0; i < 50; i++) {
            assertEquals(Optional.of("a2"), router.choose(query(PROMPT + i), i).chosen());
        }
    }

    @Example
    void sharedPrefixGoesWhereItIsCached() {
        List<LocalUpstream> list = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            list.add(engine("a" + i, "baires-a"));
        }
        directory.listed(list, List.of());
        RoutingQuery query = query(PROMPT);
        String first = router.choose(query, 0).chosen().orElseThrow();
        router.sent(query, first, 0);
        router.load(first).reported(LoadReport.UNKNOWN, 0);
        assertEquals(Optional.of(first), router.choose(query(PROMPT + " y otra"), 1).chosen());
    }

    @Example
    void prefixesOfTwoOrganisationsAreNeverShared() {
        PromptBlocks mine = PromptBlocks.of("banco-sur", "modelo-hipo", PROMPT);
        PromptBlocks other = PromptBlocks.of("banco-norte", "modelo-hipo", PROMPT);
        PrefixLocations memory = new PrefixLocations(100);
        memory.sent(mine, "a1");
        assertTrue(memory.cachedTokens(mine, "a1") > 0);
        assertEquals(0, memory.cachedTokens(other, "a1"));
    }
}
