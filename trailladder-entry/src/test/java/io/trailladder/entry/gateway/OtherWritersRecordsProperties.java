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

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.pipeline.EventSteps;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.VersionPlan;
import io.trailladder.core.upstream.VersionRecord;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against values that other writers leave under the keys of the records, and that end in
 * another exception than that of an invalid value: the record would not be read again.
 */
class OtherWritersRecordsProperties {
    private static final long NOW = 100_000;
    private static final int MEGABYTE = 1 << 20;

    private final CrashWatch crashes = new CrashWatch(() -> NOW, new GatewayMetrics());
    private final CrashRecords crashRecords =
            new CrashRecords(Clock.systemUTC(), () -> NOW, crashes);

    private static VersionRecords versionRecords() {
        StreamVersions streams =
                new StreamVersions("own", new UpstreamDirectory(), new VersionGate(), NOW);
        return new VersionRecords(streams, () -> NOW, () -> 0, () -> {});
    }

    private static EventStepsRecord eventStepsRecord() {
        return new EventStepsRecord(new EventSteps(), false);
    }

    private static byte[] versions() {
        VersionPlan first = new VersionPlan(6, Map.of("m", Map.of("v1", 1), "s", Map.of("v3", 1)));
        VersionPlan second = first.next(Map.of("m", Map.of("v1", 4, "v2", 4), "s", Map.of()));
        return versionRecords()
                .encode(new VersionRecord(6, List.of(first, second), 0, Map.of(5L, "v1")));
    }

    private void readAll(byte[] value) {
        LeaderKey.read(value);
        LeaderKey.parseToken(new String(value, StandardCharsets.US_ASCII));
        MemberFormat.read(value);
        for (StoreRecord.Content<?> record :
                List.of(crashRecords, versionRecords(), eventStepsRecord())) {
            try {
                record.read(Optional.of(value));
            } catch (IOException e) {
                assertTrue(e.getMessage() == null || e.getMessage().length() < 400);
            }
        }
    }

    @Property(tries = 2_000, seed = "86")
    void anyBytesAreReadOrInvalid(@ForAll @Size(max = 300) byte[] value) {
        readAll(value);
    }

    @Property(tries = 2_000, seed = "87")
    void changedRecordsAreReadOrInvalid(
            @ForAll @IntRange(max = 200) int at, @ForAll byte with, @ForAll boolean cut) {
        byte[] value = versions();
        value[at % value.length] = with;
        readAll(cut ? Arrays.copyOf(value, at % value.length) : value);
    }

    @Example
    void longAndExtremeValuesAreReadOrInvalid() {
        for (byte fill : new byte[] {0, 3, -1, 127, '[', '9', ' '}) {
            byte[] value = new byte[MEGABYTE];
            Arrays.fill(value, fill);
            readAll(value);
        }
        for (long time : new long[] {Long.MIN_VALUE, Long.MAX_VALUE, 0}) {
            readAll(ByteBuffer.allocate(30).putLong(time).putLong(5).array());
        }
    }

    /** Guards against a record that no process can read, because of entries with many versions. */
    @Example
    void recordOfManyVersionsIsReadAsItWasWritten() throws IOException {
        for (int count : new int[] {2, 100, 101, 256, 1_000}) {
            UpstreamDirectory directory = new UpstreamDirectory();
            StreamVersions streams =
                    new StreamVersions("own", directory, new VersionGate(), NOW - 30_000);
            VersionRecords records = new VersionRecords(streams, () -> NOW, () -> 0, () -> {});
            for (int i = 0; i < count; i++) {
                directory.changed(
                        new Upstream("w" + i, "m", "a", "w:1", 8, false, false, 0, "v" + i, 0, 0));
            }
            streams.list().confirmed(NOW);
            streams.tick(NOW);
            assertTrue(records.read(Optional.empty()));
            byte[] value = records.encode(records.current().orElseThrow());
            assertDoesNotThrow(
                    () -> versionRecords().read(Optional.of(value)), count + " versions");
        }
    }
}
