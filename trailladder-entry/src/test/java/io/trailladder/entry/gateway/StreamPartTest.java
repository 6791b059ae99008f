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
import io.trailladder.core.upstream.StreamVersions;
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

    private static StreamVersions streams() {
        return new StreamVersions("own", new UpstreamDirectory(), new VersionGate(), 0);
    }

    private static StreamPart part(StreamVersions streams, boolean needed) {
        return new StreamPart(streams, () -> needed);
    }

    private static Optional<DigestSection> write(StreamVersions streams, boolean needed) {
        return part(streams, needed).write(DigestScope.OWN, List.of(), NOW + 300);
    }

    private static StreamCall call(int number) {
        return new StreamCall("m", "a" + number);
    }

    private static StreamVersions withStreams(int count) {
        StreamVersions own = streams();
        for (int i = 0; i < count; i++) {
            own.began(call(i), "v" + i % 3, NOW);
        }
        return own;
    }

    /** Guards against streams joined by a process of the build before that was not told. */
    @Example
    void processesOfTheBuildBeforeAreToldWhereStreamsBegin() throws IOException {
        StreamVersions other = streams();
        part(other, true).received("p", write(withStreams(STREAMS), true).orElseThrow(), NOW);
        for (int i = 0; i < STREAMS; i++) {
            assertEquals(
                    Optional.of("v" + i % 3),
                    other.recorded(call(i)).orElseThrow().required(),
                    "stream " + i);
        }
    }

    @Example
    void nothingIsSentWithoutPeersOfThatBuild() {
        assertEquals(Optional.empty(), write(withStreams(STREAMS), false));
    }

    /** Guards against sections that peers drop because they are too large. */
    @Example
    void oneDigestHoldsTheLatestStreams() throws IOException {
        int count = 3 * StreamPart.MAX_STREAMS;
        DigestSection section = write(withStreams(count), true).orElseThrow();
        assertTrue(section.body().length <= DigestSection.MAX_BODY_BYTES);
        StreamVersions other = streams();
        part(other, true).received("p", section, NOW);
        for (int i = 0; i < count; i++) {
            boolean latest = i >= count - StreamPart.MAX_STREAMS;
            assertEquals(latest, other.recorded(call(i)).isPresent(), "stream " + i);
        }
    }

    @Property(tries = 2_000, seed = "20261203")
    void invalidBytesAreRefused(@ForAll @Size(max = 64) byte[] body) {
        StreamVersions streams = streams();
        try {
            part(streams, true).received("p", new DigestSection("streams", 1, 0, body), NOW);
        } catch (IOException e) {
            assertEquals(List.of(), streams.told(NOW));
        }
    }

    @Example
    void versionThatIsNotListedIsRefused() {
        byte[] body = {0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0};
        DigestSection section = new DigestSection("streams", 1, 0, body);
        assertThrows(IOException.class, () -> part(streams(), true).received("p", section, NOW));
    }
}
