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

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.Example;

/** What becomes of requests that a process takes before it knows policy and upstreams. */
class StartingRequestsTest {
    private final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
    private final List<String> accepted = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private final List<String> left = new ArrayList<>();
    private long now;
    private boolean informed;

    private final StartupRequestQueue<String> starting =
            new StartupRequestQueue<>(
                    () -> now,
                    (delay, task) ->
                            timers.computeIfAbsent(now + delay, at -> new ArrayList<>()).add(task),
                    () -> informed,
                    new Outcome());

    /** Notes what becomes of requests. */
    private final class Outcome implements StartupRequestQueue.Outcome<String> {
        @Override
        public void accepted(String request) {
            accepted.add(request);
        }

        @Override
        public void refused(String request) {
            refused.add(request);
        }

        @Override
        public boolean isOver(String request) {
            return left.contains(request);
        }
    }

    private void passTo(long millis) {
        while (!timers.isEmpty() && timers.firstKey() <= millis) {
            var due = timers.pollFirstEntry();
            now = due.getKey();
            due.getValue().forEach(Runnable::run);
        }
        now = millis;
    }

    @Example
    void requestIsServedOnceAllIsKnown() {
        starting.hold("r1");
        passTo(100);
        assertTrue(accepted.isEmpty());
        informed = true;
        passTo(120);
        assertEquals(List.of("r1"), accepted);
        assertTrue(refused.isEmpty());
    }

    @Example
    void requestsAreServedInTheOrderInWhichTheyCame() {
        starting.hold("r1");
        passTo(50);
        starting.hold("r2");
        informed = true;
        passTo(100);
        assertEquals(List.of("r1", "r2"), accepted);
    }

    @Example
    void requestIsRefusedWhenItWasHeldForTooLong() {
        starting.hold("r1");
        passTo(StartupRequestQueue.MAX_HOLD_MILLIS - 1);
        assertTrue(refused.isEmpty());
        passTo(StartupRequestQueue.MAX_HOLD_MILLIS + 20);
        assertEquals(List.of("r1"), refused);
    }

    @Example
    void processThatStillKnowsNothingLongAfterItsStartRefusesAtOnce() {
        passTo(StartupRequestQueue.STARTUP_WINDOW_MILLIS);
        starting.hold("r1");
        assertEquals(List.of("r1"), refused);
    }

    @Example
    void requestWhoseCallerHasLeftIsForgotten() {
        starting.hold("r1");
        left.add("r1");
        informed = true;
        passTo(1_000);
        assertTrue(accepted.isEmpty());
        assertTrue(refused.isEmpty());
        assertTrue(timers.isEmpty());
    }
}
