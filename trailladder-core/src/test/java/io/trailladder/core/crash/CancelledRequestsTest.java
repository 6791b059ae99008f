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

import io.trailladder.core.crash.CancelledRequests.CancelledRequest;
import java.util.List;
import net.jqwik.api.Example;

/** Requests that were cancelled at upstreams before the end of the upstream was observed. */
class CancelledRequestsTest {
    private final CancelledRequests cancelled = new CancelledRequests();

    private static CancelledRequest cancelled(long request, String upstream, long cancelledMillis) {
        return new CancelledRequest(
                "t", new RequestTrait(request), List.of(), upstream, 7, 0, cancelledMillis);
    }

    @Example
    void requestsOfTheUpstreamAreTakenOnce() {
        cancelled.add(cancelled(1, "w1", 100));
        cancelled.add(cancelled(2, "w2", 200));
        cancelled.add(cancelled(3, "w1", 300));
        List<CancelledRequest> expected = List.of(cancelled(1, "w1", 100), cancelled(3, "w1", 300));
        assertEquals(expected, cancelled.takeFrom("w1", 400));
        assertEquals(List.of(), cancelled.takeFrom("w1", 400));
        assertEquals(1, cancelled.takeFrom("w2", 400).size());
    }

    @Example
    void expiredRequestsAreNotTaken() {
        cancelled.add(cancelled(1, "w1", 100));
        assertEquals(List.of(), cancelled.takeFrom("w1", 101 + CancelledRequests.RETENTION_MILLIS));
    }

    @Example
    void numberOfRememberedRequestsIsBounded() {
        for (int i = 0; i < 2 * CancelledRequests.MAX_REQUESTS; i++) {
            cancelled.add(cancelled(i, "w1", 100));
        }
        assertEquals(CancelledRequests.MAX_REQUESTS, cancelled.takeFrom("w1", 100).size());
    }
}
