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
import io.trailladder.core.upstream.StreamInquiry;
import io.trailladder.core.upstream.StreamOrigin.Source;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.VersionPlan;
import io.trailladder.core.upstream.VersionRecord;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class VersionRecordsTest {
    private static final long NOW = 100_000;
    private static final long STARTED = 90_000;
    private static final long EPOCH = 3;
    private static final StreamInquiry ASKED = new StreamInquiry(true, true, true);

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final StreamVersions streams =
            new StreamVersions("own", directory, new VersionGate(), STARTED);

    private VersionRecords records(long epoch) {
        return new VersionRecords(streams, () -> NOW, () -> epoch, () -> {});
    }

    /** Returns what a leader records that uses the latest plan, and a peer the one before. */
    private static byte[] twoPlans() {
        StreamVersions leader =
                new StreamVersions("leader", new UpstreamDirectory(), new VersionGate(), STARTED);
        leader.record().written(record(), NOW);
        leader.planUsed("peer", record().oldestNumber(), NOW);
        return new VersionRecords(leader, () -> NOW, () -> EPOCH, () -> {}).encode(record());
    }

    private static VersionRecord record() {
        VersionPlan first = new VersionPlan(6, Map.of("m", Map.of("v1", 1), "s", Map.of("v3", 1)));
        VersionPlan second = first.next(Map.of("m", Map.of("v1", 4, "v2", 4), "s", Map.of()));
        return new VersionRecord(6, List.of(first, second), -1, Map.of(5L, "v1"));
    }

    private Source originOfAnOlderStream() {
        directory.changed(new Upstream("w", "m", "a", "w:1", 8, false, false, 0, "v2", 0, 0));
        streams.list().confirmed(NOW);
        streams.tick(NOW);
        return streams.computed(new StreamCall("m", "a1"), ASKED, NOW).source();
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

    /** Guards against a record that lacks a plan, or a stream, of before. */
    @Example
    void aRecordIsReadAsItWasWritten() throws IOException {
        assertTrue(records(EPOCH).read(Optional.of(twoPlans())));
        assertEquals(Optional.of(record()), records(EPOCH).current());
    }

    /** Guards against streams joined because two plans assign them to different versions. */
    @Example
    void aStreamIsRefusedThatPlansAssignToSeveralVersions() throws IOException {
        assertTrue(records(EPOCH).read(Optional.of(twoPlans())));
        directory.changed(new Upstream("w1", "m", "a", "w1:1", 8, false, false, 0, "v1", 0, 0));
        originOfAnOlderStream();
        int known = 0;
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            StreamCall call = new StreamCall("m", "a" + i);
            Optional<String> assigned = record().plans().get(1).assigned("m", "a" + i);
            Source source = streams.computed(call, ASKED, NOW).source();
            known += source == Source.COMPUTED ? 1 : 0;
            refused += source == Source.UNKNOWN ? 1 : 0;
            assertEquals(
                    assigned.equals(Optional.of("v1")) ? Source.COMPUTED : Source.UNKNOWN, source);
        }
        assertTrue(known > 0 && refused > 0, known + " known, " + refused + " refused");
    }

    /** Guards against streams joined because the store lost the latest changes of the record. */
    @Example
    void aRecordOfAnEarlierEpochIsNotUsed() throws IOException {
        byte[] before = twoPlans();
        assertFalse(records(EPOCH + 1).read(Optional.of(before)));
        assertEquals(Source.UNKNOWN, originOfAnOlderStream());
        assertEquals(Optional.empty(), records(EPOCH + 1).current());
    }

    /** Guards against a record that cannot be read being taken for one version. */
    @Example
    void anInvalidRecordLeavesTheEarlierVersionsUnknown() {
        byte[] record = twoPlans();
        record[0] = 9;
        assertThrows(IOException.class, () -> records(EPOCH).read(Optional.of(record)));
        assertThrows(
                IOException.class, () -> records(EPOCH).read(Optional.of(new byte[] {1, 0, 0})));
        assertEquals(Source.UNKNOWN, originOfAnOlderStream());
    }

    /** Guards against a process that ends because another writer changed the record. */
    @Property(tries = 2_000, seed = "20261205")
    void aDamagedRecordIsRefusedOrRead(
            @ForAll @Size(min = 1, max = 8) int[] places, @ForAll byte value) {
        byte[] record = twoPlans();
        for (int place : places) {
            record[Math.floorMod(place, record.length)] = value;
        }
        byte[] cut = Arrays.copyOf(record, Math.floorMod(places[0], record.length + 1));
        for (byte[] damaged : List.of(record, cut)) {
            try {
                records(EPOCH).read(Optional.of(damaged));
            } catch (IOException e) {
                assertTrue(e.getMessage() == null || !e.getMessage().isEmpty());
            }
        }
    }
}
