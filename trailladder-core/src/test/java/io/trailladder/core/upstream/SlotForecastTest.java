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

import io.trailladder.core.engine.EngineEstimate;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.Example;

/** When a request that was turned away is told to come back. */
class SlotForecastTest {
    private static final EngineEstimate ENGINE = new EngineEstimate(20, 0.01, 0.1, 1_200, 100);
    private static final OptionalLong BOOT = OptionalLong.of(4_000);

    private final UpstreamLoads loads = new UpstreamLoads();

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", "a", "h:1", 4, false, false, 0);
    }

    private void running(String id, int requests) {
        loads.setPeerUses("peer of " + id, List.of(new UpstreamUse(id, requests, 0)));
    }

    private long forecast(String... ids) {
        List<Upstream> serving = Arrays.stream(ids).map(SlotForecastTest::upstream).toList();
        return SlotForecast.millis(serving, loads, ENGINE, BOOT);
    }

    @Example
    void slotOfAFullUpstreamIsFreeWhenRequestsAheadHaveEnded() {
        running("w0", 12);
        // nine are ahead of it, and one of four places becomes free every 300 ms
        assertEquals(2_700, forecast("w0"));
    }

    @Example
    void earliestOfSeveralUpstreamsCounts() {
        running("w0", 12);
        running("w1", 5);
        assertEquals(600, forecast("w0", "w1"));
    }

    @Example
    void upstreamWithFreeSlotsIsAssumedFullUntilOneRequestEnds() {
        assertEquals(300, forecast("w0"));
    }

    @Example
    void withoutAnyUpstreamTheBootTimeIsReturned() {
        assertEquals(4_000, forecast());
        assertEquals(
                SlotForecast.UNKNOWN_MILLIS,
                SlotForecast.millis(List.of(), loads, ENGINE, OptionalLong.empty()));
    }

    @Example
    void forecastIsNeverBelowTheMinimum() {
        EngineEstimate fast = new EngineEstimate(1, 0.001, 0.1, 20, 100);
        assertEquals(
                SlotForecast.MIN_MILLIS,
                SlotForecast.millis(List.of(upstream("w0")), loads, fast, BOOT));
    }
}
