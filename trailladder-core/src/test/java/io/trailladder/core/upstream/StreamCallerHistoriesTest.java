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

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests that streams go on at their version whatever their callers say of their deadlines. */
class StreamCallerHistoriesTest extends SimulatedStreams {
    private static final int STREAMS_PER_SECOND = 40;
    private static final double MIN_CONTINUED = 0.95;
    private static final int LOSSES = 16;
    private static final long LOSS_INTERVAL_MILLIS = 500;

    /** What happens while callers resume their streams. */
    private interface History {
        void play();
    }

    /** Has a new version come while half of the upstreams of an earlier one leave. */
    private void replaceInPart() {
        for (int i = 0; i < 12; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        for (int i = 0; i < 12; i += 2) {
            change(upstream("u" + i, "v0").asLeaving(), true);
        }
    }

    private void restartAll() {
        processes.forEach(process -> process.restart(1_000));
        countEarlierStreams();
        advance(8_000, STREAMS_PER_SECOND);
    }

    private void play(int processCount, boolean fail, History history) {
        start(processCount, 2);
        attemptsFail = fail;
        advance(5_000, STREAMS_PER_SECOND);
        replaceInPart();
        history.play();
    }

    /** Plays a history with some numbers of processes. */
    private void assertGoOn(History history) {
        List<String> failed = new ArrayList<>();
        for (int processCount : new int[] {2, 6, 30}) {
            for (boolean fail : new boolean[] {false, true}) {
                play(processCount, fail, history);
                if (!goOn(MIN_CONTINUED)) {
                    failed.add(processCount + (fail ? ", attempts fail: " : ": ") + seen());
                }
            }
        }
        assertEquals(List.of(), failed);
    }

    /**
     * Guards against streams joined or refused, on a calm system, because their age was worked out
     * from the deadlines of their callers.
     */
    @Example
    void streamsGoOnWhateverDeadlineTheirCallersTell() {
        assertGoOn(() -> advance(12_000, STREAMS_PER_SECOND));
    }

    /** Guards against the same after a loss of all processes. */
    @Example
    void streamsGoOnAfterARestartOfAllWhateverDeadlineTheirCallersTell() {
        assertGoOn(
                () -> {
                    advance(12_000, STREAMS_PER_SECOND);
                    restartAll();
                });
    }

    /** Guards against the same if the loss follows shortly after the change. */
    @Example
    void streamsGoOnAfterARestartOfAllSoonAfterAChange() {
        List<String> failed = new ArrayList<>();
        for (int loss = 0; loss < LOSSES; loss++) {
            long lossMillis = loss * LOSS_INTERVAL_MILLIS;
            play(
                    6,
                    true,
                    () -> {
                        advance(lossMillis, STREAMS_PER_SECOND);
                        restartAll();
                    });
            if (!goOn(MIN_CONTINUED)) {
                failed.add("after " + lossMillis + " ms: " + seen());
            }
        }
        assertEquals(List.of(), failed);
    }
}
