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

import io.trailladder.core.upstream.RouteWaits.FirstCall;
import java.util.Map;
import net.jqwik.api.Example;

class RouteWaitsTest {
    private static final long NOW = 100_000;

    private final RouteWaits waits = new RouteWaits();

    private static StreamCall call(long deadlineMillis) {
        return new StreamCall("s", "r", "a", deadlineMillis);
    }

    /** Guards against processes that date one caller's tries differently. */
    @Example
    void allTriesOfACallerTellTheSameFirstCall() {
        waits.requested("r", 8_000, NOW);
        assertEquals(NOW, waits.firstCallMillis(call(NOW + 8_000), NOW));
        assertEquals(NOW, waits.firstCallMillis(call(NOW + 8_000), NOW + 3_000));
        assertEquals(new FirstCall(NOW, NOW), waits.firstCall(call(NOW + 8_000), NOW + 5_000));
    }

    @Example
    void withoutADeadlineTheFirstCallIsNotKnown() {
        waits.requested("r", 8_000, NOW);
        long oldest = NOW - StreamVersions.MAX_AGE_MILLIS;
        assertEquals(
                new FirstCall(oldest, NOW), waits.firstCall(call(StreamCall.NO_DEADLINE), NOW));
        assertEquals(NOW, waits.firstCallMillis(call(StreamCall.NO_DEADLINE), NOW));
    }

    /** Guards against a longer wait that dates earlier streams wrongly. */
    @Example
    void aLongerWaitLeavesTheEarlierOneInDoubtForAsLongAsStreamsLast() {
        waits.requested("r", 5_000, NOW);
        waits.requested("r", 8_000, NOW + 1_000);
        assertEquals(
                new FirstCall(NOW - 3_000, NOW), waits.firstCall(call(NOW + 5_000), NOW + 2_000));
        long settled = NOW + 1_000 + StreamVersions.MAX_AGE_MILLIS;
        waits.requested("r", 7_000, settled);
        assertEquals(
                new FirstCall(settled - 3_000, settled - 3_000),
                waits.firstCall(call(settled + 5_000), settled));
    }

    @Example
    void whatAnEarlierProcessRecordedCountsAtOnce() {
        waits.recordedBefore(Map.of("r", 8_000L));
        waits.requested("r", 5_000, NOW);
        assertEquals(Map.of("r", 8_000L), waits.longest());
        assertEquals(
                new FirstCall(NOW - 3_000, NOW - 3_000), waits.firstCall(call(NOW + 5_000), NOW));
    }

    /** Guards against streams dated by the wait of one caller that waits for very long. */
    @Example
    void streamsOfARouteWithVeryLongWaitsAreNotDated() {
        waits.requested("r", 8_000, NOW);
        waits.requested("r", Long.MAX_VALUE / 2, NOW);
        long oldest = NOW - StreamVersions.MAX_AGE_MILLIS;
        assertEquals(new FirstCall(oldest, NOW), waits.firstCall(call(NOW + 8_000), NOW));
        assertEquals(NOW, waits.firstCallMillis(call(NOW + 1_000), NOW));
        assertEquals(StreamVersions.MAX_AGE_MILLIS + 1, waits.longest().get("r"));
    }
}
