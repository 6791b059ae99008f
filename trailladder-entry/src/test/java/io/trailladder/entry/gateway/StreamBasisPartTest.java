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

import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.VersionPlan;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class StreamBasisPartTest {
    private static final long NOW = 50_000;

    private static StreamVersions streams() {
        StreamVersions streams =
                new StreamVersions("own", new UpstreamDirectory(), new VersionGate(), 0);
        for (long tick = 0; tick <= NOW; tick += 200) {
            streams.list().confirmed(tick);
            streams.tick(tick);
        }
        return streams;
    }

    private static StreamBasisPart part(StreamVersions streams) {
        return new StreamBasisPart(
                streams, telling(streams), "hub"::equals, peer -> false, () -> NOW);
    }

    private static StreamTelling telling(StreamVersions streams) {
        return new StreamTelling(
                () -> NOW, (delay, task) -> {}, streams, new ScriptedStreamPeers());
    }

    private static Optional<DigestSection> write(StreamVersions streams, long nowMillis) {
        return part(streams).write(DigestScope.OWN, List.of(), nowMillis);
    }

    private static StreamVersions withPlan(String service, String version) {
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.changed(
                new Upstream("w1", service, "a", "w:1", 8, false, false, 0, version, 0, 0));
        StreamVersions own = new StreamVersions("p", directory, new VersionGate(), NOW - 200);
        own.record().nothingRead(NOW);
        own.record().written(own.record().next(NOW).orElseThrow(), NOW);
        return own;
    }

    /** Guards against processes that assign streams by different plans. */
    @Example
    void aPlanReachesProcessesThatAreLinked() throws IOException {
        StreamVersions own = withPlan("s", "v1");
        part(own).linked("q", NOW);
        StreamVersions other = streams();
        part(other).received("p", write(own, NOW).orElseThrow(), NOW);
        assertEquals(own.plans().current(), other.plans().current());
        assertEquals(1, other.usedNumber(List.of("p"), true, NOW));
    }

    /** Guards against a process that goes on by its plan though another one has a newer one. */
    @Example
    void aPlanThatIsNotToldIsMissed() throws IOException {
        StreamVersions own = withPlan("s", "v1");
        StreamVersions other = streams();
        part(other).received("p", write(own, NOW + 2_000).orElseThrow(), NOW + 2_000);
        assertEquals(VersionPlan.NONE, other.plans().current());
        assertTrue(other.plans().isOutdated());
    }

    /** Guards against plans whose changes are larger than a section of a digest. */
    @Example
    void aLargePlanIsNotTold() throws IOException {
        StreamVersions own = withPlan("s".repeat(3_000), "v1");
        part(own).linked("q", NOW);
        DigestSection section = write(own, NOW).orElseThrow();
        assertTrue(section.body().length <= DigestSection.MAX_BODY_BYTES);
        StreamVersions other = streams();
        part(other).received("p", section, NOW);
        assertTrue(other.plans().isOutdated());
    }

    /** Guards against a process that does not know of one that was silent before its start. */
    @Example
    void silentPeersAreToldUntilTheyAreHeard() throws IOException {
        StreamVersions own = streams();
        part(own).silent("lost", NOW - 1_200);
        StreamVersions other = streams();
        StreamBasisPart part = part(other);
        part.received("p", write(own, NOW).orElseThrow(), NOW);
        assertEquals(Map.of("lost", NOW - 1_200), other.list().silences(NOW));
        part.heard("lost", NOW);
        assertEquals(Map.of(), other.list().silences(NOW));
    }

    /** Guards against leaves that trust the list of a hub that is cut off. */
    @Example
    void aProcessWhoseListMayBeOutdatedTellsIt() throws IOException {
        StreamVersions hub = streams();
        hub.peerSilent("lost", NOW);
        StreamVersions leaf = streams();
        long now = NOW + 5_000;
        for (long tick = 0; tick <= now; tick += 200) {
            hub.tick(tick);
            leaf.tick(tick);
        }
        leaf.list().confirmed(now);
        part(leaf).received("hub", write(hub, now).orElseThrow(), now);
        assertEquals(NOW, leaf.list().statedUntilMillis(now));
    }

    @Property(tries = 2_000, seed = "20261204")
    void invalidBytesAreRefused(@ForAll @Size(max = 64) byte[] body) {
        StreamVersions streams = streams();
        try {
            part(streams).received("p", new DigestSection("stream-basis", 2, 0, body), NOW);
        } catch (IOException e) {
            assertEquals(VersionPlan.NONE, streams.plans().current());
            assertTrue(streams.list().silences(NOW).isEmpty());
        }
    }
}
