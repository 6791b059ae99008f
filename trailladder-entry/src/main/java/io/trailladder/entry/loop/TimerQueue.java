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
package io.trailladder.entry.loop;

import java.util.PriorityQueue;

/** The timers of an event loop. */
final class TimerQueue {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MAX_SLEEP_MILLIS = 1_000;

    private final PriorityQueue<LoopTimer> timers = new PriorityQueue<>();
    private long order;

    LoopTimer add(long atNanos, Runnable task) {
        LoopTimer timer = new LoopTimer(atNanos, order++, task);
        timers.add(timer);
        return timer;
    }

    /** Returns the next due task, or null. */
    Runnable nextDue(long nowNanos) {
        dropCancelled();
        LoopTimer first = timers.peek();
        if (first == null || first.atNanos() - nowNanos > 0) {
            return null;
        }
        return timers.remove().take();
    }

    long millisToNext(long nowNanos) {
        dropCancelled();
        LoopTimer first = timers.peek();
        if (first == null) {
            return MAX_SLEEP_MILLIS;
        }
        long nanos = Math.max(0, first.atNanos() - nowNanos);
        long millis = (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
        return Math.min(MAX_SLEEP_MILLIS, millis);
    }

    private void dropCancelled() {
        while (!timers.isEmpty() && timers.peek().isCancelled()) {
            timers.remove();
        }
    }
}
