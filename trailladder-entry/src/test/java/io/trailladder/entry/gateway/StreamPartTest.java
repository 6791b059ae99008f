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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.StreamCall;
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.core.upstream.StreamRecord;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class StreamPartTest {
    private static final long NOW = 50_000;
    private static final int STREAMS = 40;

    private final UpstreamDirectory directory = new UpstreamDirectory();

    private StreamVersions streams() {
        StreamVersions streams = new StreamVersions("own", directory, new VersionGate(), 0);
        for (long tick = 0; tick <= NOW; tick += 200) {
            streams.listConfirmed(tick);
            streams.tick(tick);
        }
        return streams;
    }

    private static Optional<DigestSection> write(StreamVersions streams, long nowMillis) {
        return new StreamPart(streams).write(DigestScope.OWN, List.of(), nowMillis);
    }

    private static StreamCall call(String attempt, long deadlineMillis) {
        return new StreamCall("m", "r", attempt, deadlineMillis);
    }

    private void list(String id, String version) {
        directory.changed(new Upstream(id, "m", "a", id + ":1", 8, false, false, 0, version, 0, 0));
    }

    /** Guards against a process that refuses a stream, or joins two, because it was not told. */
    @Example
    void processesAreToldOfAStreamThatDidNotBeginAtItsVersion() throws IOException {
        list("w1", "v1");
        list("w2", "v2");
        StreamVersions own = streams();
        own.tick(NOW);
        for (int i = 0; i < STREAMS; i++) {
            own.began(call("a" + i, NOW + 8_000), "v1", NOW);
        }
        own.tick(NOW + 200);
        DigestSection section = write(own, NOW + 300).orElseThrow();

        StreamVersions middle = streams();
        new StreamPart(middle).received("p", section, NOW + 310);
        StreamVersions last = streams();
        new StreamPart(last).received("q", write(middle, NOW + 500).orElseThrow(), NOW + 510);

        last.listConfirmed(NOW + 510);
        last.tick(NOW + 510);
        int told = 0;
        for (int i = 0; i < STREAMS; i++) {
            StreamOrigin origin = last.origin(call("a" + i, NOW + 4_520), NOW + 520);
            assertEquals(Optional.of("v1"), origin.required());
            told += origin.source() == StreamOrigin.Source.RECORDED ? 1 : 0;
        }
        assertTrue(told > 0 && told < STREAMS, told + " told");
        assertTrue(write(last, NOW + 5_000).isEmpty(), "still told after seconds");
    }

    /** Guards against a process that lists a new version first and joins it to earlier streams. */
    @Example
    void aProcessThatListsAVersionLaterDoesNotJoinIt() {
        list("w1", "v1");
        list("w2", "v2");
        StreamVersions last = new StreamVersions("own", directory, new VersionGate(), 0);
        last.listConfirmed(NOW + 510);
        last.tick(NOW + 510);
        for (int i = 0; i < STREAMS; i++) {
            StreamOrigin origin = last.origin(call("a" + i, NOW + 4_520), NOW + 520);
            assertEquals(StreamOrigin.Source.UNKNOWN, origin.source());
        }
    }

    @Example
    void nothingIsSentWhileThereIsOneVersion() {
        StreamVersions own = streams();
        list("w1", "v1");
        list("w2", "v1");
        own.tick(NOW);
        own.began(call("a1", NOW + 8_000), "v1", NOW);
        own.tick(NOW + 200);
        assertTrue(write(own, NOW + 300).isEmpty());
    }

    /** Guards against sections that peers drop because they are too large. */
    @Example
    void oneDigestHoldsTheLatestStreams() throws IOException {
        StreamVersions own = streams();
        int count = 3 * StreamPart.MAX_STREAMS;
        for (int i = 0; i < count; i++) {
            own.learned(new StreamRecord(i, "v" + i % 3, 0), NOW);
        }
        DigestSection section = write(own, NOW).orElseThrow();
        assertTrue(section.body().length <= DigestSection.MAX_BODY_BYTES);
        StreamVersions other = streams();
        new StreamPart(other).received("p", section, NOW);
        assertEquals(StreamPart.MAX_STREAMS, other.news(NOW).size());
        assertEquals(count - 1, other.news(NOW).get(StreamPart.MAX_STREAMS - 1).attempt());
    }

    @Property(tries = 2_000, seed = "20261203")
    void invalidBytesAreRefused(@ForAll @Size(max = 64) byte[] body) {
        StreamVersions streams = streams();
        try {
            new StreamPart(streams).received("p", new DigestSection("streams", 1, 0, body), NOW);
        } catch (IOException e) {
            assertTrue(streams.news(NOW).isEmpty());
        }
    }

    @Example
    void versionThatIsNotListedIsRefused() {
        byte[] body = {0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0};
        DigestSection section = new DigestSection("streams", 1, 0, body);
        assertThrows(
                IOException.class, () -> new StreamPart(streams()).received("p", section, NOW));
    }
}
