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
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

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
    void unitsTakenByPeersAreNotAvailable() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        bucket.takenByPeers(1_000, 0);
        assertTrue(bucket.tryTake(100, 0) > 0);
    }

    @Example
    void unreachablePeersKeepTheirPart() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, 0, 0);
        bucket.sharedPart(0.5, 0);
        assertEquals(500, bucket.level(SECOND), 0.001);
    }

    /** Has a bucket hear others that take some units every 100 ms for ten seconds. */
    private static QuotaBucket bucketWithActiveOthers(double unitsOfOthers) {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        for (long now = 0; now <= 10 * SECOND; now += 100) {
            bucket.takenByPeers(unitsOfOthers, now);
            bucket.sharedPart(1, now);
        }
        return bucket;
    }

    @Example
    void entryIsolatedBrieflyUsesWhatTheOthersLeave() {
        QuotaBucket bucket = bucketWithActiveOthers(40);
        bucket.tryTake(bucket.level(10 * SECOND), 10 * SECOND);
        bucket.assumeOthersActive(0.01, 10 * SECOND);
        assertEquals(600, bucket.level(11 * SECOND), 60);
    }

    @Example
    void isolatedEntryTakesNothingThatTheOthersUse() {
        QuotaBucket bucket = bucketWithActiveOthers(100);
        double before = bucket.level(10 * SECOND);
        bucket.assumeOthersActive(0.01, 10 * SECOND);
        assertEquals(before + 10, bucket.level(11 * SECOND), 60);
    }

    /** Takes all that a bucket lets pass at a time, in small requests. */
    private static double takeAll(QuotaBucket bucket, long now) {
        double passed = 0;
        while (bucket.tryTake(10, now) == 0) {
            passed += 10;
        }
        return passed;
    }

    @Example
    void isolatedEntrySpendsItsPartOfTheLevel() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, 800, 0);
        bucket.sharedPart(0.1, 0);
        assertEquals(80, takeAll(bucket, 0), 10);
        assertEquals(100, takeAll(bucket, 10 * SECOND), 10);
    }

    @Example
    void entryThatStaysIsolatedIsChargedWhatOthersWereAssumedToLeave() {
        QuotaBucket bucket = bucketWithActiveOthers(40);
        double left = bucket.level(10 * SECOND);
        bucket.assumeOthersActive(0.1, 10 * SECOND);
        assertEquals(left, takeAll(bucket, 10 * SECOND), 10);
        bucket.sharedPart(0.1, 10 * SECOND);
        assertEquals(0, takeAll(bucket, 12 * SECOND));
    }

    @Example
    void reconnectedEntryIsNotChargedWhatTheOthersLeft() {
        QuotaBucket bucket = bucketWithActiveOthers(40);
        bucket.assumeOthersActive(0.1, 10 * SECOND);
        takeAll(bucket, 10 * SECOND);
        bucket.othersWereActive(11 * SECOND);
        bucket.sharedPart(1, 11 * SECOND);
        assertEquals(600, bucket.level(11 * SECOND), 60);
    }

    @Example
    void reconnectedEntryRegainsThePartOfUnreachableProcesses() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        bucket.sharedPart(0.25, 0);
        bucket.tryTake(200, 0);
        bucket.sharedPart(0.5, 0);
        assertEquals(800, bucket.totalLevel(0), 0.001);
        assertEquals(300, bucket.level(0), 0.001);
        bucket.sharedPart(1, 0);
        assertEquals(800, bucket.level(0), 0.001);
    }

    @Example
    void partThatIsSmallerThanARequestIsSavedUpUntilOneFits() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        bucket.sharedPart(0.01, 0);
        assertTrue(bucket.tryTake(100, 0) > 0);
        assertTrue(bucket.tryTake(100, 8 * SECOND) > 0);
        assertEquals(0, bucket.tryTake(100, 9 * SECOND));
        assertTrue(bucket.tryTake(100, 9 * SECOND) > 0);
        assertEquals(0, bucket.tryTake(100, 60 * SECOND));
        assertTrue(bucket.tryTake(100, 60 * SECOND) > 0);
    }

    /** However the processes are cut apart, and again, all together pass what one bucket holds. */
    @Property
    void partitionsTogetherPassNoMoreThanRateAndBurst(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 5) Integer> groups,
            @ForAll @IntRange(min = 100, max = 2_000) int stepMillis) {
        int processes = groups.stream().mapToInt(size -> size).sum();
        double passed = 0;
        int steps = 5;
        for (int size : groups) {
            QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
            for (long now = 0; now <= (long) steps * stepMillis; now += stepMillis) {
                bucket.sharedPart(
                        (now / stepMillis + 1 < steps ? size : 1) / (double) processes, now);
                passed += takeAll(bucket, now);
            }
        }
        double allowed = LIMIT.burst() + LIMIT.perSecond() * steps * stepMillis / SECOND;
        assertTrue(passed <= allowed + 10 * groups.size(), passed + " of " + allowed);
    }

    @Example
    void restartedEntryTakesOverALowerLevel() {
        QuotaBucket bucket = new QuotaBucket(LIMIT, LIMIT.burst(), 0);
        bucket.capLevel(-300, 0);
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
