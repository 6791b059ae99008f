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
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ServiceShare;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.topology.Topology;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** The choice of an upstream by cached prompt parts, load of all entries, distance and health. */
class UpstreamSelectorTest {
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamLoads loads = new UpstreamLoads();
    private final UpstreamSelector selector =
            new UpstreamSelector("a", directory, loads, new EngineModel());

    private void upstreams(int count) {
        for (int i = 0; i < count; i++) {
            String dataCentre = i % 2 == 0 ? "a" : "b";
            directory.changed(new Upstream("w" + i, "s", dataCentre, "h:1", 8, false, false, 0));
        }
    }

    private static ServingRequest request(String subject) {
        return request(
                List.of(
                        new PromptBlock("system", 2_500),
                        new PromptBlock(subject, 3_500),
                        new PromptBlock("own", 3_000)));
    }

    private static ServingRequest request(List<PromptBlock> blocks) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteKind.STREAMING,
                        8_000,
                        1_000,
                        0,
                        List.of(new ServiceShare("s", 1)),
                        2,
                        false,
                        true,
                        true);
        Prompt prompt = new Prompt(9_000, 50, blocks);
        return new ServingRequest("id", "t", route, "s", 0, prompt, 100, 0, 8_000, 1);
    }

    private static String chosen(UpstreamSelector from, ServingRequest request) {
        return from.choose(request, Set.of(), 0).orElseThrow().upstream().id();
    }

    @Property
    void entriesChooseTheSameUpstreamForASubject(@ForAll @IntRange(min = 1, max = 9) int count) {
        UpstreamDirectory fresh = new UpstreamDirectory();
        for (int i = 0; i < count; i++) {
            fresh.changed(new Upstream("w" + i, "s", "a", "h:1", 8, false, false, 0));
        }
        UpstreamSelector one =
                new UpstreamSelector("a", fresh, new UpstreamLoads(), new EngineModel());
        UpstreamSelector other =
                new UpstreamSelector("a", fresh, new UpstreamLoads(), new EngineModel());
        assertEquals(chosen(one, request("x")), chosen(other, request("x")));
    }

    @Example
    void workOfPeersCounts() {
        upstreams(2);
        String home = chosen(selector, request("x"));
        loads.setPeerUses("peer", List.of(new UpstreamUse(home, 20, 60_000)));
        assertNotEquals(home, chosen(selector, request("x")));
    }

    @Example
    void failingUpstreamIsAvoidedUnlessItIsTheOnlyOne() {
        upstreams(2);
        loads.unreachable("w0", 0);
        assertEquals("w1", chosen(selector, request("x")));
        loads.unreachable("w1", 0);
        assertTrue(selector.choose(request("x"), Set.of(), 0).isPresent());
    }

    @Example
    void unreachableDataCentreIsAvoidedAsAWhole() {
        upstreams(6);
        Upstream far = directory.find("w1").orElseThrow();
        selector.unreachable(far, 0);
        for (int i = 0; i < 20; i++) {
            String id = chosen(selector, request("subject" + i));
            assertEquals("a", directory.find(id).orElseThrow().dataCentre());
        }
    }

    @Example
    void leavingUpstreamGetsNoNewWork() {
        upstreams(2);
        directory.leaving(new LeavingUpstream("w0", 0));
        for (int i = 0; i < 20; i++) {
            assertEquals("w1", chosen(selector, request("subject" + i)));
        }
        directory.removed("w1");
        assertTrue(selector.choose(request("x"), Set.of(), 0).isEmpty());
    }

    @Example
    void lateListDoesNotBringALeavingUpstreamBack() {
        upstreams(1);
        directory.leaving(new LeavingUpstream("w0", 0));
        directory.changed(new Upstream("w0", "s", "a", "h:1", 8, false, false, 0));
        assertTrue(directory.serving("s").isEmpty());
    }

    /** It is idle, but the few requests that it takes are kept for those that gain from it. */
    @Example
    void limitedUpstreamIsChosenForPromptsItHasCached() {
        long[] now = {10_000};
        UpstreamLimits limits = new UpstreamLimits(() -> now[0], any -> new SendSlotOrder(0, 1));
        directory.changed(new Upstream("w0", "s", "a", "h:1", 8, false, false, 0));
        directory.changed(new Upstream("w1", "s", "a", "h:1", 8, false, false, 0));
        UpstreamSelector choosing =
                new UpstreamSelector(
                        Topology.oneRegion("a"),
                        new UpstreamAvailability(directory, new UpstreamBackoffs(), limits),
                        loads,
                        new EngineModel(),
                        new VersionGate(),
                        () -> 1,
                        List.of(limits.cost()));
        choosing.sent(request("held"), "w0");
        choosing.sent(request("other"), "w1");
        loads.setPeerUses("peer", List.of(new UpstreamUse("w1", 0, 300)));
        ServingRequest anywhere = request(List.of());
        assertEquals("w0", chosen(choosing, anywhere), "it has less to read");

        limits.answerReceived(directory.find("w0").orElseThrow(), LimitNotice.of(1), 0, now[0]);
        assertEquals("w1", chosen(choosing, request("held")), "not its turn");
        now[0] += 1_000;
        assertEquals("w0", chosen(choosing, request("held")));
        assertEquals("w1", chosen(choosing, anywhere), "the turn is kept for others");
        now[0] += 990;
        assertEquals("w0", chosen(choosing, anywhere), "nobody else came");
    }
}
