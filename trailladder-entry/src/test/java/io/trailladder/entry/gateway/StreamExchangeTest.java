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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ServiceShare;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.RecordTimes;
import io.trailladder.core.upstream.StreamCall;
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.VersionPlan;
import io.trailladder.core.upstream.VersionRecord;
import io.trailladder.entry.port.CallerRequest;
import io.trailladder.wire.NodeMessage.StreamNews;
import io.trailladder.wire.NodeMessage.StreamNews.Kind;
import io.trailladder.wire.NodeMessage.StreamReply;
import io.trailladder.wire.NodeMessage.StreamSent;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Tests of the questions and messages about where streams began. */
class StreamExchangeTest {
    private static final long T = 50_000;
    private static final VersionPlan ONE = new VersionPlan(1, Map.of("m", Map.of("v1", 1)));
    private static final StreamCall CALL = new StreamCall("m", "a");

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final ScriptedStreamPeers peers = new ScriptedStreamPeers();
    private final StreamOrigin[] found = new StreamOrigin[1];

    private void list(String id, String version) {
        directory.changed(new Upstream(id, "m", "a", id + ":1", 8, false, false, 0, version, 0, 0));
    }

    private StreamVersions process(String name) {
        StreamVersions streams = new StreamVersions(name, directory, new VersionGate(), 0);
        VersionRecord record = new VersionRecord(1, List.of(ONE), -1, Map.of());
        streams.record().read(record, RecordTimes.longest(record), 4_000, 4_000);
        for (long tick = 0; tick <= T; tick += 200) {
            streams.list().confirmed(tick);
            streams.tick(tick);
        }
        return streams;
    }

    private StreamExchange exchange(StreamVersions streams, boolean recordIsRead) {
        return new StreamExchange(
                () -> T, (delay, task) -> {}, streams, peers, done -> done.accept(recordIsRead));
    }

    private StreamTelling telling(StreamVersions streams) {
        return new StreamTelling(() -> T, (delay, task) -> {}, streams, peers);
    }

    private void find(StreamExchange exchange) {
        exchange.find(CALL, finding -> found[0] = finding.origin());
    }

    /** Guards against streams joined at a leaf that has just lost its hub, and asks nobody. */
    @Example
    void aProcessThatAskedNobodyDoesNotCompute() {
        list("u1", "v1");
        list("u2", "v2");
        peers.hub = false;
        peers.needed = List.of("hub");
        find(exchange(process("leaf"), false));
        assertEquals(StreamOrigin.Source.OUTDATED, found[0].source());
    }

    /** Guards against streams refused because bridges of other regions cannot be asked. */
    @Example
    void aServiceOfOneVersionGoesOnWhileTheStoreIsAwayThoughABridgeCannotBeAsked() {
        list("u1", "v1");
        peers.fullMesh = false;
        find(exchange(process("hub"), false));
        assertEquals(StreamOrigin.ANY, found[0]);
    }

    /** Guards against a stream that is computed before all peers have answered. */
    @Example
    void theVersionIsThatOfThePeerThatBeganTheStream() {
        list("u1", "v1");
        list("u2", "v2");
        peers.asked = List.of("p", "q");
        StreamExchange exchange = exchange(process("own"), false);
        find(exchange);
        exchange.received("p", new StreamReply(StreamVersions.hash(CALL), "", 1, true));
        assertEquals(null, found[0]);
        exchange.received("q", new StreamReply(StreamVersions.hash(CALL), "v2", 1, true));
        assertEquals(StreamOrigin.recorded("v2"), found[0]);
    }

    /** Guards against a stream that goes on at any version at its second attempt. */
    @Example
    void aSecondAttemptToResumeStaysAtTheVersionOfTheFirst() {
        list("u1", "v1");
        StreamVersions streams = process("own");
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteKind.STREAMING,
                        8_000,
                        1_000,
                        0,
                        List.of(new ServiceShare("m", 1)),
                        2,
                        false,
                        true,
                        true);
        ServingRequest request =
                new ServingRequest("id", "t", route, "m", 0, Prompt.NONE, 100, 0, 8_000, 1);
        CallerRequest caller = new CallerRequest("id", "h", "/", "", 8_000, "3", "", Prompt.NONE);
        StreamVersion version = new StreamVersion(streams, request, caller);
        assertTrue(version.isToBeFound());
        version.found(new StreamExchange.Finding(StreamOrigin.ANY, 1, 1, true));
        assertEquals(StreamOrigin.ANY, version.origin(T));
        version.sent(directory.serving("m").get(0), telling(streams), T);
        directory.removed("u1");
        list("u2", "v2");
        assertNotEquals(StreamOrigin.ANY, version.origin(T + 2_000), "any, and only v2 is left");
    }

    /** Guards against streams that a hub does not pass on, or passes on for ever. */
    @Example
    void whatIsNewIsPassedOnOnce() {
        peers.passedOn = List.of("hub2");
        StreamTelling telling = telling(process("hub"));
        StreamNews news = new StreamNews(Kind.UNPLANNED, List.of(new StreamSent(7, "v2", 0)));
        telling.received("leaf", news);
        telling.received("leaf", news);
        assertEquals(List.of(news), peers.sent);
    }

    /** Guards against a statement that counts before the peer has told what it rests on. */
    @Example
    void aPeerIsIntroducedOnceItHasToldAll() {
        StreamTelling telling = telling(process("own"));
        telling.received("p", new StreamNews(Kind.UNPLANNED, List.of()));
        assertFalse(telling.isIntroduced("p"));
        telling.received("p", new StreamNews(Kind.ALL_UNPLANNED, List.of()));
        assertTrue(telling.isIntroduced("p"));
        telling.linkChanged("p");
        assertFalse(telling.isIntroduced("p"));
    }
}
