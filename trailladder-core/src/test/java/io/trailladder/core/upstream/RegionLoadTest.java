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
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.upstream.TwoRegions.Count;
import io.trailladder.core.upstream.TwoRegions.Load;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Where requests are sent under loads that differ between two regions of 12 processes each.
 *
 * <p>The model's figures are those of an engine with 32 slots that reads 51 tokens per millisecond:
 * the 2,890 tokens of a request's own are read in 57 ms, the 6,300 shared ones in 123 ms. Six
 * engines serve about 105 requests per second while shared blocks are cached. The plain service has
 * 3 upstreams of 6 slots in each region and takes 43 ms for a request: about 420 per second.
 */
class RegionLoadTest {
    private static final Load MODEL = new Load(true, 6, 32, 60, 51.1, 1_015);
    private static final Load PLAIN = new Load(false, 3, 6, 42.9, 0, 249);
    private static final long SEED = 20_261_203;

    private static TwoRegions afterNormalLoad(Load load, double perSecond) {
        TwoRegions regions = new TwoRegions(load, SEED);
        regions.run(20_000, perSecond, perSecond);
        return regions;
    }

    /**
     * Both regions run at half of their capacity. Guards against needless requests to the other
     * region: processes without a region table send three of ten requests there.
     */
    @Example
    void atHalfLoadNothingCrossesAndSharedPartsAreNotReadMoreOften() {
        TwoRegions regions = new TwoRegions(MODEL, SEED);
        regions.run(60_000, 50, 50);
        Count north = regions.count("north");
        Count south = regions.count("south");
        TwoRegions withoutRegions = new TwoRegions(MODEL, SEED, Map.of());
        withoutRegions.run(60_000, 50, 50);
        assertTrue(
                withoutRegions.count("north").crossed
                        > 0.25 * withoutRegions.count("north").requests);
        int crossed = north.crossed + south.crossed;
        assertTrue(crossed < 0.005 * (north.requests + south.requests), "crossed " + crossed);
        assertTrue(north.fractionInTime() > 0.99, "north " + north.fractionInTime());
        assertTrue(south.fractionInTime() > 0.99, "south " + south.fractionInTime());
        String reads =
                regions.sharedReads() + " reads, " + withoutRegions.sharedReads() + " without";
        assertTrue(regions.sharedReads() <= 1.1 * withoutRegions.sharedReads(), reads);
    }

    /**
     * For five seconds, one region receives three times its capacity, the other half of its
     * capacity.
     */
    @Example
    void burstOnAModelUsesTheOtherRegionWithoutDelayingIt() {
        TwoRegions regions = afterNormalLoad(MODEL, 50);
        regions.run(5_000, 300, 50);
        Count north = regions.count("north");
        Count south = regions.count("south");
        assertTrue(north.crossed > 50, "crossed " + north.crossed);
        assertTrue(south.fractionInTime() > 0.99, "south " + south.fractionInTime());
        assertEquals(0, south.crossed);
    }

    /**
     * For five seconds, one region receives twice its capacity. With few upstreams, the share of
     * each process is below one request.
     */
    @Example
    void burstOnAPlainServiceUsesTheOtherRegionWithoutDelayingIt() {
        TwoRegions regions = afterNormalLoad(PLAIN, 150);
        regions.run(5_000, 800, 150);
        Count north = regions.count("north");
        Count south = regions.count("south");
        assertTrue(north.crossed > 50, "crossed " + north.crossed);
        assertTrue(south.fractionInTime() > 0.99, "south " + south.fractionInTime());
    }

    /** All upstreams of a region leave at once; the other region has capacity for both. */
    @Example
    void regionWithoutUpstreamsIsServedByTheOther() {
        TwoRegions regions = afterNormalLoad(PLAIN, 100);
        regions.removeUpstreams("north");
        regions.run(10_000, 100, 100);
        Count north = regions.count("north");
        assertEquals(north.requests, north.crossed + north.refused);
        assertTrue(north.fractionInTime() > 0.99, "north " + north.fractionInTime());
        Count south = regions.count("south");
        assertTrue(south.fractionInTime() > 0.99, "south " + south.fractionInTime());
    }

    /**
     * As above, with twice as many requests as the other region can serve. Its own callers take
     * precedence, and most of the remaining capacity of 270 per second serves the callers from the
     * lost region.
     */
    @Example
    void regionThatServesBothKeepsItsOwnCallersInTime() {
        TwoRegions regions = afterNormalLoad(PLAIN, 150);
        regions.removeUpstreams("north");
        regions.run(10_000, 700, 150);
        Count south = regions.count("south");
        assertTrue(south.fractionInTime() > 0.95, "south " + south.fractionInTime());
        Count north = regions.count("north");
        assertTrue(north.inTime > 0.6 * 2_700, "north " + north.inTime);
    }

    /**
     * Both regions receive more than their capacity, so that sending requests to the other one
     * gains nothing.
     */
    @Example
    void overloadOfBothRegionsDoesNotCross() {
        TwoRegions regions = afterNormalLoad(PLAIN, 150);
        regions.run(5_000, 600, 600);
        Count north = regions.count("north");
        Count south = regions.count("south");
        int requests = north.requests + south.requests;
        int crossed = north.crossed + south.crossed;
        assertTrue(crossed < 0.05 * requests, crossed + " of " + requests + " crossed");
    }
}
