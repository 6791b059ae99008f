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
import io.trailladder.core.upstream.StreamCall;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.UpstreamDirectory;
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
            streams.listConfirmed(tick);
            streams.tick(tick);
        }
        return streams;
    }

    private static StreamBasisPart part(StreamVersions streams) {
        return new StreamBasisPart(streams, "hub"::equals);
    }

    private static Optional<DigestSection> write(StreamVersions streams, long nowMillis) {
        return part(streams).write(DigestScope.OWN, List.of(), nowMillis);
    }

    @Example
    void nothingIsSentWhereNothingIsNew() {
        assertEquals(Optional.empty(), write(streams(), NOW));
    }

    /** Guards against processes that date the first call of a stream by different waits. */
    @Example
    void aLongestWaitReachesProcessesThatAreNotLinked() throws IOException {
        StreamVersions own = streams();
        own.requested(new StreamCall("s", "r", "a", NOW + 8_000), NOW);
        StreamVersions middle = streams();
        part(middle).received("p", write(own, NOW).orElseThrow(), NOW);
        StreamVersions last = streams();
        part(last).received("q", write(middle, NOW + 200).orElseThrow(), NOW + 200);
        assertEquals(Map.of("r", 8_000L), last.newWaits(NOW + 200));
        for (long tick = NOW; tick <= NOW + 5_000; tick += 200) {
            last.tick(tick);
        }
        last.listConfirmed(NOW + 5_000);
        assertEquals(Optional.empty(), write(last, NOW + 5_000));
    }

    /** Guards against a process that does not know of one that was silent before its start. */
    @Example
    void silentPeersAreToldUntilTheyAreHeard() throws IOException {
        StreamVersions own = streams();
        part(own).silent("lost", NOW - 1_200);
        StreamVersions other = streams();
        StreamBasisPart part = part(other);
        part.received("p", write(own, NOW).orElseThrow(), NOW);
        assertEquals(Map.of("lost", NOW - 1_200), other.silences(NOW));
        part.heard("lost", NOW);
        assertEquals(Map.of(), other.silences(NOW));
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
        leaf.listConfirmed(now);
        part(leaf).received("hub", write(hub, now).orElseThrow(), now);
        assertEquals(NOW, leaf.listCurrentUntilMillis(now));
    }

    @Property(tries = 2_000, seed = "20261204")
    void invalidBytesAreRefused(@ForAll @Size(max = 64) byte[] body) {
        StreamVersions streams = streams();
        try {
            part(streams).received("p", new DigestSection("stream-basis", 1, 0, body), NOW);
        } catch (IOException e) {
            assertTrue(streams.newWaits(NOW).isEmpty() && streams.silences(NOW).isEmpty());
        }
    }
}
