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

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that no stream is joined where versions are replaced while processes restart. */
class StreamRestartHistoriesTest extends SimulatedStreams {
    /** Has the upstreams of v9 come, and those of v0 leave. */
    private void replaceVersion(long pauseMillis) {
        for (int i = 0; i < 12; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        advance(pauseMillis, 40);
        for (int i = 0; i < 12; i++) {
            change(upstream("u" + i, "v0").asLeaving(), true);
        }
        advance(1_000, 40);
    }

    private void removeOldUpstreams() {
        for (int i = 0; i < 12; i++) {
            change(upstream("u" + i, "v0"), false);
        }
    }

    private void restartAll(long downMillis) {
        processes.forEach(process -> process.restart(downMillis));
    }

    /** Guards against streams of upstreams that leave being joined after a restart of all. */
    @Example
    void versionThatLeavesIsKnownAfterARestartOfAll() {
        start(3, 1);
        advance(5_000, 40);
        replaceVersion(1_000);
        restartAll(500);
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against the same if the older version has gone from the list before the restart. */
    @Example
    void versionThatWentIsKnownAfterARestartOfAll() {
        start(3, 1);
        advance(5_000, 40);
        replaceVersion(3_000);
        removeOldUpstreams();
        advance(500, 40);
        restartAll(500);
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against the same if the version is replaced while no process runs. */
    @Example
    void versionReplacedWhileAllAreDownIsKnownAfterwards() {
        start(3, 1);
        advance(5_000, 40);
        restartAll(1_000);
        for (int i = 0; i < 12; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        removeOldUpstreams();
        advance(1_000, 0);
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /**
     * Guards against the same at processes that restart one after the other beside one that lives.
     */
    @Example
    void versionThatLeftIsKnownToProcessesThatRestartInTurn() {
        start(3, 1);
        advance(5_000, 40);
        replaceVersion(1_000);
        for (int i = 1; i < processes.size(); i++) {
            processes.get(i).restart(500);
            advance(3_000, 40);
        }
        removeOldUpstreams();
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against joined streams after restarts in any order, with and without the store. */
    @Property(tries = 60, seed = "20261204")
    void noStreamIsJoinedOverAnyOrderOfRestarts(@ForAll long seed) {
        start(5, 1);
        attemptsFail = false;
        restartInAnyOrder(seed);
    }

    /**
     * Guards against the same where some streams began at the second upstream they were sent to.
     */
    @Property(tries = 60, seed = "20261204")
    void noStreamOfARetryIsJoinedOverAnyOrderOfRestarts(@ForAll long seed) {
        start(5, 1);
        restartInAnyOrder(seed);
    }

    private void restartInAnyOrder(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < 12; i++) {
            storeReachable = random.nextInt(4) > 0;
            change(upstream("n" + i, "v9"), true);
            advance(random.nextLong(3_000), 40);
            change(upstream("u" + i, "v0").asLeaving(), true);
            advance(random.nextLong(1_500), 40);
            if (random.nextBoolean()) {
                change(upstream("u" + i, "v0"), false);
            }
            int restarted = random.nextInt(processes.size() + 1);
            for (int process = 0; process < restarted; process++) {
                processes.get(process).restart(random.nextLong(100, 1_500));
            }
        }
        storeReachable = true;
        advance(5_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined, seed " + seed);
    }

    /** Guards against streams refused after a restart of all though only one version serves. */
    @Example
    void oneVersionLosesNothingInARestartOfAll() {
        start(5, 1);
        for (int i = 0; i < 3; i++) {
            advance(3_000, 40);
            restartAll(500);
        }
        advance(5_000, 40);
        assertContinued(1);
    }

    /**
     * Guards against streams refused after releases in series, though no version changed lately.
     */
    @Property(tries = 5, seed = "20261204", edgeCases = EdgeCasesMode.NONE)
    void streamsGoOnAfterReleasesInSeriesAndARestartOfAll(
            @ForAll @IntRange(min = 0, max = 4) int size) {
        start(List.of(2, 6, 30, 81, 340).get(size), 1);
        replaceVersion(100);
        removeOldUpstreams();
        advance(6_000, 40);
        for (int i = 0; i < 6; i++) {
            change(upstream("m" + i, "v10"), true);
            advance(400, 40);
            change(upstream("n" + i, "v9").asLeaving(), true);
        }
        advance(4_000, 40);
        restartAll(1_000);
        countEarlierStreams();
        advance(8_000, 40);
        assertContinued(0.95);
    }

    /** Guards against the same after the loss of all processes within a release. */
    @Property(tries = 20, seed = "20261205", edgeCases = EdgeCasesMode.NONE)
    void streamsGoOnAfterARestartOfAllWithinARelease(
            @ForAll @IntRange(min = 0, max = 10_000) int lossMillis) {
        start(8, 1);
        advance(5_000, 40);
        long leftMillis = lossMillis;
        for (int i = 0; i < 6; i++) {
            change(upstream("n" + i, "v9"), true);
            advance(Math.min(leftMillis, 400), 40);
            leftMillis -= Math.min(leftMillis, 400);
            change(upstream("u" + i, "v0").asLeaving(), true);
        }
        advance(leftMillis, 40);
        restartAll(1_000);
        countEarlierStreams();
        advance(8_000, 40);
        assertContinued(0.95);
    }
}
