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

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.engine.SimulatedFleet.Kind;
import io.trailladder.core.policy.ScalingSpec;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * The same decisions on engines of very different speeds, places and prices: none needs a constant
 * of its own.
 */
class AnyEngineTest {
    private static final List<String> THREE = List.of("a", "b", "c");
    private static final List<String> FOUR = List.of("a", "b", "c", "d");

    private static ScalingSpec scaling(
            int max, double reclaimablePrice, Map<String, Double> prices) {
        return new ScalingSpec(1, max, 4_000, reclaimablePrice, prices);
    }

    /** A small engine that reads slowly: its prompts take most of its time. */
    private static final Kind SLOW_READER =
            new Kind(
                    8,
                    16,
                    15,
                    4,
                    3_000,
                    40,
                    2_500,
                    scaling(12, 0.6, Map.of("a", 1.0, "b", 2.0, "c", 0.5)));

    /** Many places, prompts and answers of middling size. */
    private static final Kind MANY_SLOTS =
            new Kind(
                    32,
                    128,
                    10,
                    30,
                    2_000,
                    60,
                    1_000,
                    scaling(10, 0.22, Map.of("a", 0.85, "b", 1.2, "c", 1.0)));

    /** A fast engine with few places: long answers fill them. */
    private static final Kind FEW_SLOTS =
            new Kind(
                    157,
                    24,
                    4.5,
                    110,
                    2_900,
                    220,
                    300,
                    scaling(10, 0.22, Map.of("a", 1.0, "b", 0.8, "c", 1.25, "d", 0.9)));

    /** A very fast engine with a tight objective. */
    private static final Kind VERY_FAST =
            new Kind(
                    400,
                    64,
                    2,
                    300,
                    4_000,
                    100,
                    120,
                    scaling(14, 0.3, Map.of("a", 1.0, "b", 1.0, "c", 3.0, "d", 0.2)));

    private static void assertServedInTime(Kind kind, List<String> dataCentres) {
        for (long seed = 1; seed <= 3; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(kind, dataCentres, 9, seed);
            fleet.simulate(150, 60);
            String told =
                    kind
                            + ": in time "
                            + fleet.inTimeFraction()
                            + ", upstreams "
                            + fleet.meanUpstreams()
                            + ", least "
                            + kind.minUpstreams()
                            + ", reads "
                            + fleet.estimatedTokensPerMilli();
            assertTrue(fleet.inTimeFraction() > 0.95, told);
            // A data centre may be lost at once, and places are planned to be 0.6 taken.
            double spare = dataCentres.size() / (dataCentres.size() - 1.0);
            double most = 4 * spare * kind.minUpstreams() + dataCentres.size();
            assertTrue(fleet.meanUpstreams() <= most, told);
            assertTrue(fleet.estimatedTokensPerMilli() > 0.4 * kind.tokensPerMilli(), told);
            assertTrue(fleet.estimatedTokensPerMilli() < 2.5 * kind.tokensPerMilli(), told);
        }
    }

    @Example
    void slowReaderIsSizedToServeInTime() {
        assertServedInTime(SLOW_READER, THREE);
    }

    @Example
    void manySlotsAreSizedToServeInTime() {
        assertServedInTime(MANY_SLOTS, THREE);
    }

    @Example
    void fewSlotsAreSizedToServeInTime() {
        assertServedInTime(FEW_SLOTS, FOUR);
    }

    @Example
    void veryFastEnginesAreSizedToServeInTime() {
        assertServedInTime(VERY_FAST, FOUR);
    }
}
