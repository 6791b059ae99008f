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
package io.trailladder.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.policy.RateSpec;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * An organisation's limit holds over all entries that hear one another, and over those that do not.
 */
class QuotaBucketTest {
    private static final RateSpec LIMIT = new RateSpec(1_000, 1_000, true, 1);
    private static final long SECOND = 1_000;

    @Example
    void burstThenRate() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        assertEquals(0, bucket.tryTake(1_000, 0));
        long wait = bucket.tryTake(500, 0);
        assertTrue(wait > 0);
        assertEquals(0, bucket.tryTake(500, SECOND));
    }

    @Example
    void whatPeersTakeIsNotThereAnyMore() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        bucket.takenByPeers(1_000, 0);
        assertTrue(bucket.tryTake(100, 0) > 0);
    }

    @Example
    void unheardPeersKeepTheirPart() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, 0, 0);
        bucket.sharedPart(0.5, 0);
        assertEquals(500, bucket.level(SECOND), 0.001);
    }

    /** Has a bucket hear others that take some units every 100 ms for ten seconds. */
    private static QuotaBucket hearing(double unitsOfOthers) {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        for (long now = 0; now <= 10 * SECOND; now += 100) {
            bucket.takenByPeers(unitsOfOthers, now);
            bucket.sharedPart(1, now);
        }
        return bucket;
    }

    @Example
    void entryThatHearsNobodyForAMomentUsesWhatTheOthersLeave() {
        QuotaBucket bucket = hearing(40);
        bucket.tryTake(bucket.level(10 * SECOND), 10 * SECOND);
        bucket.othersGoOn(0.01, 10 * SECOND);
        assertEquals(600, bucket.level(11 * SECOND), 60);
    }

    @Example
    void entryThatHearsNobodyTakesNothingThatTheOthersUse() {
        QuotaBucket bucket = hearing(100);
        double before = bucket.level(10 * SECOND);
        bucket.othersGoOn(0.01, 10 * SECOND);
        assertEquals(before + 10, bucket.level(11 * SECOND), 60);
    }

    @Example
    void restartedEntryTakesOverALowerLevel() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        bucket.atMost(-300, 0);
        assertEquals(-300, bucket.level(0), 0.001);
    }

    @Example
    void unlimitedOrganisationIsNeverRefused() {
        QuotaBucket bucket = new QuotaBucket(RateSpec.UNLIMITED, 0, 0);
        for (int i = 0; i < 100; i++) {
            assertEquals(0, bucket.tryTake(1_000_000, 0));
        }
    }

    @Property
    void neverLetsPassMoreThanRateAndBurst(
            @ForAll @IntRange(min = 1, max = 700) int units,
            @ForAll @IntRange(min = 1, max = 200) int stepMillis) {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        double passed = 0;
        long now = 0;
        while (now < 10 * SECOND) {
            passed += bucket.tryTake(units, now) == 0 ? units : 0;
            now += stepMillis;
        }
        double allowed = LIMIT.burst() + LIMIT.perSecond() * now / SECOND;
        assertTrue(passed <= allowed + units, passed + " of " + allowed);
    }
}
