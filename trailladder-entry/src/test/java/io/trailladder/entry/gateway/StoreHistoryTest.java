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
package io.trailladder.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** Which answers of the store and words of peers count. */
class StoreHistoryTest {
    private final StoreHistory history = new StoreHistory(new GatewayMetrics());
    private int replaced;

    StoreHistoryTest() {
        history.onReplaced(() -> replaced++);
        history.isCurrent(7);
    }

    @Example
    void lateAnswerOfAnEarlierHistoryIsIgnored() {
        assertTrue(history.isCurrent(8));
        assertFalse(history.isCurrent(7));
        assertEquals(8, history.epoch());
        assertEquals(1, replaced);
    }

    // Guards against a spoiled field that makes all answers count for nothing.
    @Example
    void answerWithAnInvalidEpochCountsAsOneWithout() {
        assertTrue(history.isCurrent(-1));
        assertTrue(history.isCurrent(Long.MAX_VALUE));
        assertTrue(history.isCurrent(0));
        assertEquals(7, history.epoch());
        assertEquals(0, replaced);
    }

    @Example
    void peerOnAnotherHistoryIsIgnored() {
        assertTrue(history.mayMatch(7));
        assertTrue(history.mayMatch(0), "older builds name none");
        assertFalse(history.mayMatch(6));
    }
}
