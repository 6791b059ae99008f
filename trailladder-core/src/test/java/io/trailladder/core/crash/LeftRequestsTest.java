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
package io.trailladder.core.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.core.crash.LeftRequests.Left;
import java.util.List;
import net.jqwik.api.Example;

/** Requests that were taken back from upstreams before their end was seen. */
class LeftRequestsTest {
    private final LeftRequests left = new LeftRequests();

    private static Left left(long request, String upstream, long leftMillis) {
        return new Left("t", new RequestFingerprint(request), upstream, 7, 0, leftMillis);
    }

    @Example
    void onlyThoseOfTheUpstreamAreTakenAndOnlyOnce() {
        left.add(left(1, "w1", 100));
        left.add(left(2, "w2", 200));
        left.add(left(3, "w1", 300));
        List<Left> expected = List.of(left(1, "w1", 100), left(3, "w1", 300));
        assertEquals(expected, left.takeFrom("w1", 400));
        assertEquals(List.of(), left.takeFrom("w1", 400));
        assertEquals(1, left.takeFrom("w2", 400).size());
    }

    @Example
    void thoseThatLeftLongBeforeHaveNothingToDoWithIt() {
        left.add(left(1, "w1", 100));
        assertEquals(List.of(), left.takeFrom("w1", 101 + LeftRequests.KEPT_MILLIS));
    }

    @Example
    void noMoreAreRememberedThanTheBound() {
        for (int i = 0; i < 2 * LeftRequests.MOST; i++) {
            left.add(left(i, "w1", 100));
        }
        assertEquals(LeftRequests.MOST, left.takeFrom("w1", 100).size());
    }
}
