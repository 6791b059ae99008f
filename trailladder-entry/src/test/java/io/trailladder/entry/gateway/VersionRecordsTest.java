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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.StreamCall;
import io.trailladder.core.upstream.StreamOrigin.Source;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.VersionRecord;
import io.trailladder.core.upstream.VersionStep;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;

class VersionRecordsTest {
    private static final long NOW = 100_000;
    private static final long STARTED = 90_000;
    private static final long TIME_OF_DAY = 1_700_000_000_000L;
    private static final long EPOCH = 3;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final StreamVersions streams =
            new StreamVersions("own", directory, new VersionGate(), STARTED);

    private VersionRecords records(long epoch) {
        TimePart clock =
                new TimePart(
                        Clock.fixed(Instant.ofEpochMilli(NOW + TIME_OF_DAY), ZoneOffset.UTC),
                        () -> NOW);
        return new VersionRecords(streams, () -> NOW, clock, () -> epoch);
    }

    private static byte[] twoVersions(VersionRecords records) {
        return records.encode(record());
    }

    private static VersionRecord record() {
        return new VersionRecord(
                NOW - 500,
                Map.of("m", List.of(step(NOW - 30_000, 0), step(NOW - 1_500, 2))),
                Map.of("r", 8_000L),
                Map.of("p", NOW - 2_000),
                Map.of(5L, "v1"));
    }

    private static VersionStep step(long fromMillis, int newSlots) {
        return new VersionStep(
                fromMillis - 100,
                fromMillis,
                true,
                Map.of("v1", 8, "v2", 2),
                newSlots == 0 ? Map.of("v1", 8) : Map.of("v1", 8, "v2", newSlots));
    }

    private Source originOfAnOlderStream() {
        directory.changed(new Upstream("w", "m", "a", "w:1", 8, false, false, 0, "v2", 0, 0));
        streams.listConfirmed(NOW);
        streams.tick(NOW);
        return streams.origin(new StreamCall("m", "r", "a1", NOW + 4_000), NOW).source();
    }

    /** Guards against a process that writes a record before it knows what was before its start. */
    @Example
    void nothingIsWrittenBeforeTheEarlierRecordIsKnown() throws IOException {
        assertEquals(Optional.empty(), records(EPOCH).current());
        originOfAnOlderStream();
        assertEquals(Optional.empty(), records(EPOCH).current());
        assertTrue(records(EPOCH).read(Optional.empty()));
        assertTrue(records(EPOCH).current().isPresent());
    }

    /** Guards against a record whose times are those of the process that wrote it. */
    @Example
    void aRecordIsReadAsItWasWritten() throws IOException {
        assertTrue(records(EPOCH).read(Optional.of(twoVersions(records(EPOCH)))));
        originOfAnOlderStream();
        VersionRecord read = records(EPOCH).current().orElseThrow();
        assertEquals(record().steps().get("m"), read.steps().get("m").subList(0, 2));
        assertEquals(record().longestWaits(), read.longestWaits());
        assertEquals(Map.of(), read.silences(), "times are not known yet");
        assertEquals(record().streams(), read.streams());
    }

    /** Guards against streams joined by a record whose times are not known yet. */
    @Example
    void aStreamIsRefusedThatHadOtherVersionsAtSomeTime() throws IOException {
        assertTrue(records(EPOCH).read(Optional.of(twoVersions(records(EPOCH)))));
        assertEquals(Source.UNKNOWN, originOfAnOlderStream());
    }

    /** Guards against streams joined because the store lost the latest changes of the record. */
    @Example
    void aRecordOfAnEarlierEpochIsNotUsed() throws IOException {
        byte[] before = twoVersions(records(EPOCH));
        assertFalse(records(EPOCH + 1).read(Optional.of(before)));
        assertEquals(Source.UNKNOWN, originOfAnOlderStream());
        assertEquals(Optional.empty(), records(EPOCH + 1).current());
    }

    /** Guards against a record that cannot be read being taken for one version. */
    @Example
    void anInvalidRecordLeavesTheEarlierVersionsUnknown() {
        byte[] record = twoVersions(records(EPOCH));
        record[0] = 9;
        assertThrows(IOException.class, () -> records(EPOCH).read(Optional.of(record)));
        assertThrows(
                IOException.class, () -> records(EPOCH).read(Optional.of(new byte[] {1, 0, 0})));
        assertEquals(Source.UNKNOWN, originOfAnOlderStream());
    }
}
