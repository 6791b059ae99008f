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
 * Where requests go under loads that differ between two regions of 12 processes each.
 *
 * <p>The model's figures are those of an engine of 32 places that reads 51 tokens a millisecond; a
 * request's 2,890 own tokens are read in 57 ms, 6,300 shared ones in 123 ms. Six engines take some
 * 105 requests a second while shared parts are held. The plain service has 3 upstreams of 6 places
 * in each region, and 43 ms for a request: some 420 a second.
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
     * Half of what a region can take: a quiet hour. Processes that know no regions send three of
     * ten requests to the other one.
     */
    @Example
    void atHalfLoadNothingCrossesAndSharedPartsAreNotReadMoreOften() {
        TwoRegions regions = new TwoRegions(MODEL, SEED);
        regions.run(60_000, 50, 50);
        Count north = regions.count("north");
        Count south = regions.count("south");
        TwoRegions unknown = new TwoRegions(MODEL, SEED, Map.of());
        unknown.run(60_000, 50, 50);
        assertTrue(unknown.count("north").crossed > 0.25 * unknown.count("north").requests);
        int crossed = north.crossed + south.crossed;
        assertTrue(crossed < 0.005 * (north.requests + south.requests), "crossed " + crossed);
        assertTrue(north.fractionInTime() > 0.99, "north " + north.fractionInTime());
        assertTrue(south.fractionInTime() > 0.99, "south " + south.fractionInTime());
        String reads = regions.sharedReads() + " reads, " + unknown.sharedReads() + " without";
        assertTrue(regions.sharedReads() <= 1.1 * unknown.sharedReads(), reads);
    }

    /** Three times what one region can take for five seconds, half of that in the other. */
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

    /** Twice what one region can take for five seconds: few upstreams, so shares below one. */
    @Example
    void burstOnAPlainServiceUsesTheOtherRegionWithoutDelayingIt() {
        TwoRegions regions = afterNormalLoad(PLAIN, 150);
        regions.run(5_000, 800, 150);
        Count north = regions.count("north");
        Count south = regions.count("south");
        assertTrue(north.crossed > 50, "crossed " + north.crossed);
        assertTrue(south.fractionInTime() > 0.99, "south " + south.fractionInTime());
    }

    /** All upstreams of a region leave at once; the other has room for both. */
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
     * The same, and twice as many requests as the other region can take: its own go first, and most
     * of the 270 a second that these leave go to the callers from elsewhere.
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

    /** Requests of both regions pass all that both can take: nothing is gained by the long way. */
    @Example
    void overloadOfBothRegionsDoesNotCross() {
        TwoRegions regions = afterNormalLoad(PLAIN, 150);
        regions.run(5_000, 600, 600);
        Count north = regions.count("north");
        Count south = regions.count("south");
        int asked = north.requests + south.requests;
        int crossed = north.crossed + south.crossed;
        assertTrue(crossed < 0.05 * asked, crossed + " of " + asked + " crossed");
    }
}
