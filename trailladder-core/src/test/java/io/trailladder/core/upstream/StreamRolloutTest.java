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

import io.trailladder.core.rollout.ExposureLedger;
import io.trailladder.core.rollout.Rollout;
import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutStatus;
import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.StreamOrigin.Source;
import net.jqwik.api.Example;

/** Tests where streams may be resumed while a roll-out chooses the version of each of them. */
class StreamRolloutTest {
    private static final long STARTED = 1_000;
    private static final long ORDERED = 30_000;
    private static final long NOW = 40_000;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final VersionGate gate = new VersionGate();
    private final Rollout rollout =
            new Rollout(
                    new RolloutOrder("s", "v2", 60_000, 7), new ExposureLedger(1, 0.9), ORDERED);

    private void list(String id, String version) {
        directory.changed(new Upstream(id, "s", "a", id + ":1", 8, false, false, 0, version, 0, 0));
    }

    private StreamVersions processDuringARollout(long startedMillis) {
        list("u1", "v1");
        StreamVersions streams = new StreamVersions("own", directory, gate, startedMillis);
        streams.tick(startedMillis);
        gate.begin(rollout);
        list("u2", "v2");
        streams.tick(ORDERED);
        streams.tick(NOW - 1_000);
        return streams;
    }

    private static final StreamCall CALL = new StreamCall("s", "a1");

    private static void record(StreamVersions streams, long nowMillis) {
        streams.record().written(streams.record().next(nowMillis).orElseThrow(), nowMillis);
    }

    /** Returns the origin at a process that has run, with a current list, until then. */
    private static StreamOrigin originAt(StreamVersions streams, long nowMillis) {
        streams.tick(nowMillis);
        streams.list().confirmed(nowMillis);
        return streams.computed(CALL, new StreamInquiry(true, true, true), nowMillis);
    }

    private static Source origin(StreamVersions streams, long nowMillis) {
        return originAt(streams, nowMillis).source();
    }

    /** Guards against streams joined during a roll-out at a process that was not told of them. */
    @Example
    void aStreamThatNobodyToldOfIsNotResumedDuringARollout() {
        StreamVersions streams = processDuringARollout(STARTED);
        streams.record().nothingRead(NOW - 1_000);
        record(streams, NOW - 1_000);
        assertEquals(Source.UNKNOWN, origin(streams, NOW));
        streams.learned(new StreamRecord(StreamVersions.hash(CALL), "v1", 100), NOW);
        assertEquals(Source.RECORDED, origin(streams, NOW));
    }

    /** Guards against the same at a process that started during the roll-out. */
    @Example
    void aStreamOfBeforeTheStartIsNotResumedDuringARollout() {
        list("u1", "v1");
        list("u2", "v2");
        gate.begin(rollout);
        StreamVersions streams = new StreamVersions("own", directory, gate, NOW - 5_000);
        StreamVersions earlier = processDuringARollout(STARTED);
        earlier.record().nothingRead(STARTED);
        VersionRecord record = earlier.record().next(NOW - 5_000).orElseThrow();
        streams.record().read(record, RecordTimes.longest(record), NOW - 5_000, NOW - 5_000);
        assertEquals(Source.UNKNOWN, origin(streams, NOW));
    }

    /** Guards against streams refused for good after a version was rolled back. */
    @Example
    void streamsAreResumedAfterARollbackThoughBothVersionsAreListed() {
        StreamVersions streams = processDuringARollout(STARTED);
        streams.record().nothingRead(NOW - 1_000);
        record(streams, NOW - 1_000);
        rollout.recorded(new RolloutStatus("s", "v2", State.ROLLED_BACK, 8), NOW);
        streams.tick(NOW);
        assertEquals(Source.UNKNOWN, origin(streams, NOW));
        record(streams, NOW);
        long laterMillis = NOW + 2 * StreamVersions.MAX_AGE_MILLIS;
        streams.tick(laterMillis);
        assertEquals(StreamOrigin.computed("v1"), originAt(streams, laterMillis));
    }
}
