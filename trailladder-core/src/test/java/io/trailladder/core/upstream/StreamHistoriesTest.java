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

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that streams are resumed at the version that began them while upstreams of several versions
 * come and go, and processes notice that at different times and restart.
 */
class StreamHistoriesTest extends SimulatedStreams {
    /**
     * Guards against streams that go on at another version at a process that did not begin them.
     */
    @Property(tries = 16, generation = GenerationMode.EXHAUSTIVE)
    void processesAgreeOnTheVersionOfAStream(
            @ForAll @IntRange(min = 1, max = 4) int versionCount,
            @ForAll @IntRange(min = 0, max = 3) int size) {
        start(List.of(2, 6, 30, 81).get(size), versionCount);
        advance(20_000, 40);
        assertContinued(1);
    }

    /** Guards against the same while the upstreams of one version replace those of another. */
    @Example
    void streamsGoOnWhileAVersionIsReplaced() {
        start(8, 1);
        advance(5_000, 40);
        for (int i = 0; i < 12; i++) {
            change(upstream("n" + i, "v9"), true);
            advance(1_500, 40);
            change(upstream("u" + i, "v0"), false);
            advance(500, 40);
        }
        advance(5_000, 40);
        assertContinued(0.95);
    }

    /** Guards against streams joined when upstreams end without notice and new ones start. */
    @Example
    void streamsGoOnWhileUpstreamsOfThreeVersionsComeAndGo() {
        start(8, 3);
        for (int i = 0; i < 30; i++) {
            change(upstream("n" + i, "v" + random.nextInt(3)), true);
            advance(700, 40);
            change(upstream("u" + i % 12, "v" + i % 3), false);
            advance(700, 40);
        }
        assertContinued(0.95);
    }

    /** Guards against a process that has just started resuming streams at any version. */
    @Example
    void streamsGoOnAfterAllProcessesRestart() {
        start(8, 3);
        advance(5_000, 40);
        for (int restart = 0; restart < 3; restart++) {
            processes.forEach(process -> process.restart(1_000));
            advance(8_000, 40);
        }
        assertContinued(0.95);
    }
}
