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

/** Tests requests that arrive before a process knows policy and upstreams. */
class StartupRequestQueueTest {
    private final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
    private final List<String> accepted = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private final List<String> cancelled = new ArrayList<>();
    private long now;
    private boolean informed;

    private final StartupRequestQueue<String> queue =
            new StartupRequestQueue<>(
                    () -> now,
                    (delay, task) ->
                            timers.computeIfAbsent(now + delay, at -> new ArrayList<>()).add(task),
                    () -> informed,
                    new Outcome());

    /** Records the outcome of requests. */
    private final class Outcome implements StartupRequestQueue.Outcome<String> {
        @Override
        public void accepted(String request, long sinceMillis) {
            accepted.add(request);
        }

        @Override
        public void refused(String request) {
            refused.add(request);
        }

        @Override
        public boolean isOver(String request) {
            return cancelled.contains(request);
        }
    }

    private void advanceTo(long millis) {
        while (!timers.isEmpty() && timers.firstKey() <= millis) {
            var due = timers.pollFirstEntry();
            now = due.getKey();
            due.getValue().forEach(Runnable::run);
        }
        now = millis;
    }

    @Example
    void requestIsAcceptedOncePolicyAndUpstreamsAreKnown() {
        queue.hold("r1");
        advanceTo(100);
        assertTrue(accepted.isEmpty());
        informed = true;
        advanceTo(120);
        assertEquals(List.of("r1"), accepted);
        assertTrue(refused.isEmpty());
    }

    @Example
    void requestsAreAcceptedInOrderOfArrival() {
        queue.hold("r1");
        advanceTo(50);
        queue.hold("r2");
        informed = true;
        advanceTo(100);
        assertEquals(List.of("r1", "r2"), accepted);
    }

    @Example
    void requestIsRefusedWhenItWasHeldForTooLong() {
        queue.hold("r1");
        advanceTo(StartupRequestQueue.MAX_HOLD_MILLIS - 1);
        assertTrue(refused.isEmpty());
        advanceTo(StartupRequestQueue.MAX_HOLD_MILLIS + 20);
        assertEquals(List.of("r1"), refused);
    }

    @Example
    void uninformedProcessRefusesAtOnceAfterTheStartupWindow() {
        advanceTo(StartupRequestQueue.STARTUP_WINDOW_MILLIS);
        queue.hold("r1");
        assertEquals(List.of("r1"), refused);
    }

    @Example
    void requestWhoseCallerHasLeftIsDropped() {
        queue.hold("r1");
        cancelled.add("r1");
        informed = true;
        advanceTo(1_000);
        assertTrue(accepted.isEmpty());
        assertTrue(refused.isEmpty());
        assertTrue(timers.isEmpty());
    }

    /** Guards against requests that a process holds and never answers because it stops. */
    @Example
    void heldRequestsAreRefusedWhenTheProcessStops() {
        queue.hold("r1");
        queue.hold("r2");
        queue.refuseAll();
        assertEquals(List.of("r1", "r2"), refused);
        informed = true;
        advanceTo(1_000);
        assertTrue(accepted.isEmpty());
        assertEquals(2, refused.size());
    }
}
