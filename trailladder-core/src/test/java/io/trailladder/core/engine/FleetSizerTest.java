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
package io.trailladder.core.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class FleetSizerTest {
    private static EngineEstimate engine(double tokensPerMilli) {
        return new EngineEstimate(30, 1 / tokensPerMilli, 0.3, 1_000, 500);
    }

    @Example
    void theSameLoadNeedsFewerFasterEngines() {
        ServiceLoad load = new ServiceLoad(200, 400_000, 40);
        double slow = FleetSizer.need(load, engine(30), 128, 1_000).recommended();
        double fast = FleetSizer.need(load, engine(150), 128, 1_000).recommended();
        assertTrue(slow > 3 * fast, slow + " and " + fast);
    }

    @Example
    void fewSlotsNeedMoreEngines() {
        ServiceLoad load = new ServiceLoad(10, 10_000, 96);
        double few = FleetSizer.need(load, engine(150), 24, 500).recommended();
        assertTrue(few > 6 && few < 8, "96 requests in places of 24: " + few);
        assertTrue(FleetSizer.need(load, engine(150), 128, 500).recommended() < 2);
    }

    @Example
    void largePromptsBeforeATightObjectiveNeedMoreEngines() {
        ServiceLoad small = new ServiceLoad(60, 60 * 1_000, 10);
        ServiceLoad large = new ServiceLoad(60, 60 * 20_000, 10);
        double withSmall = FleetSizer.need(small, engine(30), 128, 600).recommended();
        double withLarge = FleetSizer.need(large, engine(30), 128, 600).recommended();
        assertTrue(withLarge > 1.5 * withSmall, withSmall + " and " + withLarge);
    }

    @Property(tries = 1_000, seed = "20261202")
    void needIsFiniteAndTheMinimumNeverExceedsTheRecommendation(
            @ForAll @DoubleRange(min = 0, max = 10_000) double tokens,
            @ForAll @DoubleRange(min = 1, max = 50_000) double promptSize,
            @ForAll @DoubleRange(min = 0, max = 5_000) double running,
            @ForAll @DoubleRange(min = 1, max = 900) double speed,
            @ForAll @IntRange(min = 0, max = 512) int slots,
            @ForAll @DoubleRange(min = 0, max = 5_000) double objective) {
        ServiceLoad load = new ServiceLoad(tokens, tokens * promptSize, running);
        FleetNeed need = FleetSizer.need(load, engine(speed), slots, objective);
        assertTrue(Double.isFinite(need.recommended()) && need.minimum() >= 0);
        assertTrue(need.minimum() <= need.recommended() + 1e-9, need.toString());
    }

    @Example
    void requestWaitsForASlotOnlyWhenAllAreOccupied() {
        EngineEstimate engine = engine(150);
        assertEquals(0, engine.slotWaitMillis(23, 24));
        assertTrue(engine.slotWaitMillis(30, 24) > engine.slotWaitMillis(24, 24));
    }
}
