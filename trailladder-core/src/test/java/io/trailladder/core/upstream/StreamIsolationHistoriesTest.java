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

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that no stream is joined where processes miss changes of the versions. */
class StreamIsolationHistoriesTest extends SimulatedStreams {
    private static final int STREAMS_PER_SECOND = 40;

    /** Has the upstreams of a new version come, and half of the earlier ones leave. */
    private void addVersion(String prefix, String version) {
        for (int i = 0; i < 6; i++) {
            change(upstream(prefix + i, version), true);
        }
        advance(500, STREAMS_PER_SECOND);
        for (int i = 0; i < 6; i++) {
            change(upstream("u" + i, "v0").asLeaving(), true);
        }
    }

    /**
     * Guards against streams joined at a process that is cut off from the store and its peers while
     * the versions change.
     */
    @Example
    void aProcessThatIsCutOffDoesNotJoinVersions() {
        start(2, 1);
        advance(5_000, STREAMS_PER_SECOND);
        processes.get(1).isolate();
        advance(2_000, STREAMS_PER_SECOND);
        addVersion("n", "v9");
        addVersion("m", "v10");
        advance(15_000, STREAMS_PER_SECOND);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against streams joined that began at such a process, also after the cut. */
    @Property(tries = 6, seed = "20261204")
    void streamsOfAProcessThatIsCutOffAreNotJoinedElsewhere(
            @ForAll @IntRange(min = 2, max = 7) int count) {
        start(count, 1);
        advance(5_000, STREAMS_PER_SECOND);
        processes.get(1).isolate();
        advance(2_000, STREAMS_PER_SECOND);
        addVersion("n", "v9");
        advance(10_000, STREAMS_PER_SECOND);
        processes.get(1).reconnect();
        advance(10_000, STREAMS_PER_SECOND);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against joined streams over any order of cuts, releases and restarts. */
    @Property(tries = 60, seed = "20261204")
    void noStreamIsJoinedOverAnyOrderOfCuts(@ForAll long seed) {
        start(5, 1);
        random = new SplittableRandom(seed);
        for (int i = 0; i < 12; i++) {
            Gateway process = processes.get(random.nextInt(processes.size()));
            if (random.nextBoolean()) {
                process.isolate();
            } else {
                processes.forEach(Gateway::reconnect);
            }
            advance(random.nextLong(4_000), STREAMS_PER_SECOND);
            change(upstream("n" + i, "v" + (9 + random.nextInt(2))), true);
            advance(random.nextLong(3_000), STREAMS_PER_SECOND);
            change(upstream("u" + i, "v0").asLeaving(), true);
            if (random.nextInt(4) == 0) {
                processes.get(random.nextInt(processes.size())).restart(random.nextLong(1_500));
            }
        }
        processes.forEach(Gateway::reconnect);
        advance(8_000, STREAMS_PER_SECOND);
        assertEquals(0, joined, joined + " of " + resumed + " joined, seed " + seed);
    }

    /** Guards against streams refused at processes that reach the store while others do not. */
    @Example
    void streamsOfConnectedProcessesGoOnWhileOneIsCutOff() {
        start(5, 1);
        advance(5_000, STREAMS_PER_SECOND);
        processes.get(1).isolate();
        callersAvoidIsolated = true;
        advance(2_000, STREAMS_PER_SECOND);
        advance(10_000, STREAMS_PER_SECOND);
        assertContinued(0.95);
    }

    /** Guards against new streams refused at processes in touch while one is cut off for long. */
    @Example
    void streamsBeginAtConnectedProcessesWhileOneIsCutOffForLong() {
        start(5, 2);
        advance(5_000, STREAMS_PER_SECOND);
        processes.get(1).isolate();
        callersAvoidIsolated = true;
        advance(90_000, STREAMS_PER_SECOND);
        assertEquals(0, refused, seen());
    }

    /** Guards against the same where the store is away and a process was lost. */
    @Example
    void streamsBeginWithoutTheStoreWhileAPeerResponds() {
        start(3, 2);
        advance(5_000, STREAMS_PER_SECOND);
        storeReachable = false;
        processes.get(1).restart(200_000);
        advance(90_000, STREAMS_PER_SECOND);
        assertEquals(0, refused, seen());
    }

    /** Guards against a process that is cut off and refuses streams sooner than it must. */
    @Example
    void streamsBeginAtAProcessThatIsCutOffUntilOthersForgetIt() {
        start(3, 2);
        advance(5_000, STREAMS_PER_SECOND);
        processes.get(1).isolate();
        advance(ListFreshness.MAX_ISOLATION_MILLIS - 1_000, STREAMS_PER_SECOND);
        assertEquals(0, refused, seen());
        advance(2_000, STREAMS_PER_SECOND);
        processes.get(1).reconnect();
        advance(1_000, 0);
        refused = 0;
        advance(10_000, STREAMS_PER_SECOND);
        assertEquals(0, refused, seen());
        assertEquals(0, joined, seen());
    }
}
