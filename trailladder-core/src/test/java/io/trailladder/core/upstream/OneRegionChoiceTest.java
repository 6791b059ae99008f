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

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
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
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/**
 * Guards against changes of choices and their figures in a deployment with a single region. The
 * hash covers 4,000 choices of the last version without regions, computed with {@link StrictMath},
 * whose results have the same bits on every processor.
 */
class OneRegionChoiceTest {
    private static final long EXPECTED_HASH = 3_322_769_132_594_807_495L;
    private static final int CHOICES = 4_000;
    private static final long STEP_MILLIS = 7;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamLoads loads = new UpstreamLoads();
    private final EngineModel engines = new EngineModel();
    private final SplittableRandom random = new SplittableRandom(20_261_203);

    @Example
    void choicesMatchThoseOfAVersionWithoutRegions() {
        UpstreamSelector selector = new UpstreamSelector("a", directory, loads, engines);
        assertEquals(EXPECTED_HASH, hashOfChoices(selector));
    }

    @Example
    void tableWithASingleRegionDoesNotChangeChoices() {
        Topology topology = Topology.of("a", Map.of("a", "x", "b", "x", "c", "x", "d", "x"));
        UpstreamSelector selector =
                new UpstreamSelector(
                        topology,
                        new UpstreamAvailability(directory, new UpstreamBackoffs()),
                        loads,
                        engines,
                        new VersionGate(),
                        () -> 70,
                        List.of());
        assertEquals(EXPECTED_HASH, hashOfChoices(selector));
    }

    private long hashOfChoices(UpstreamSelector selector) {
        HashStream64 hash = Hashing.xxh3_64().hashStream();
        for (int i = 0; i < 24; i++) {
            String dataCentre = List.of("a", "b", "c", "d").get(i % 4);
            String service = i % 6 == 5 ? "plain" : "model";
            directory.changed(
                    new Upstream("w" + i, service, dataCentre, "h:1", 8, false, false, 0));
        }
        for (int i = 0; i < CHOICES; i++) {
            long now = i * STEP_MILLIS;
            Optional<Selection> chosen = selector.choose(request(i, now), excluded(), now);
            if (chosen.isPresent()) {
                put(hash, chosen.get());
                recordOutcome(selector, request(i, now), chosen.get(), now);
            }
        }
        return hash.getAsLong();
    }

    private static void put(HashStream64 hash, Selection selection) {
        hash.putString(selection.upstream().id())
                .putDouble(selection.predictedMillis())
                .putInt(selection.requests())
                .putInt(selection.waitingTokens())
                .putInt(selection.cachedTokens())
                .putInt(selection.candidates())
                .putLong(selection.slotWaitMillis())
                .putString(selection.costs().toString());
    }

    private Set<String> excluded() {
        return random.nextInt(10) == 0 ? Set.of("w" + random.nextInt(24)) : Set.of();
    }

    private void recordOutcome(
            UpstreamSelector selector, ServingRequest request, Selection selection, long now) {
        String id = selection.upstream().id();
        int tokens = request.prompt().tokensIn();
        selector.sent(request, id);
        loads.sent(id, tokens);
        engines.firstEvent(request.service(), tokens, 0, 20 + tokens / 50, now);
        engines.ended(request.service(), 100 + random.nextInt(300), now);
        if (random.nextInt(4) != 0) {
            loads.promptRead(id, tokens);
            loads.ended(id);
        }
        if (random.nextInt(200) == 0) {
            loads.unreachable(id, now);
            selector.unreachable(selection.upstream(), now);
        } else {
            loads.succeeded(id, now);
        }
        if (random.nextInt(50) == 0) {
            loads.setPeerUses(
                    "peer" + random.nextInt(5),
                    List.of(new UpstreamUse(id, random.nextInt(12), random.nextInt(20_000))));
        }
    }

    private static ServingRequest request(int number, long now) {
        boolean plain = number % 5 == 4;
        RouteKind kind = plain ? RouteKind.SAFE : RouteKind.STREAMING;
        String service = plain ? "plain" : "model";
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        kind,
                        8_000,
                        1_000,
                        0,
                        List.of(new ServiceShare(service, 1)),
                        2,
                        false,
                        true,
                        true);
        Prompt prompt =
                plain
                        ? Prompt.NONE
                        : new Prompt(
                                9_000,
                                50,
                                List.of(
                                        new PromptBlock("system", 2_500),
                                        new PromptBlock("subject" + number % 13, 3_500),
                                        new PromptBlock("own" + number, 3_000)));
        return new ServingRequest(
                "id" + number, "t", route, service, 0, prompt, 4_000, now, now + 8_000, 1);
    }
}
