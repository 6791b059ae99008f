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
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.entry.gateway.StoreCalls.Count;
import io.trailladder.entry.gateway.StoreCalls.Kind;
import io.trailladder.entry.gateway.StoreCalls.Purpose;
import java.util.List;
import net.jqwik.api.Example;

/** Counts of calls to the store. */
class StoreCallsTest {
    private final StoreCalls calls = new StoreCalls(new GatewayMetrics());

    @Example
    void eachCallIsReportedOnce() {
        calls.countCall(Purpose.MEMBERS, Kind.RENEWAL);
        calls.countCall(Purpose.MEMBERS, Kind.RENEWAL);
        calls.countCall(Purpose.POLICY, Kind.FRESH_READ);
        List<Count> told = calls.takeUnreported();
        assertEquals(2, told.size());
        assertTrue(told.contains(new Count(Purpose.MEMBERS, Kind.RENEWAL, 2)));
        assertTrue(told.contains(new Count(Purpose.POLICY, Kind.FRESH_READ, 1)));
        assertTrue(calls.takeUnreported().isEmpty());
    }
}
