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
package io.trailladder.entry;

import java.util.PriorityQueue;

/** Runs tasks in the order of their scheduled times, without waiting. */
final class VirtualClock {
    private final PriorityQueue<Work> queue = new PriorityQueue<>();
    private long nowMillis;
    private long count;

    /** A scheduled task; tasks for the same time run in the order in which they were scheduled. */
    private record Work(long atMillis, long number, Runnable action) implements Comparable<Work> {
        @Override
        public int compareTo(Work other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    long millis() {
        return nowMillis;
    }

    /** Schedules a task for a time, or for now if that is past. */
    void at(long atMillis, Runnable action) {
        queue.add(new Work(Math.max(atMillis, nowMillis), count++, action));
    }

    void after(long delayMillis, Runnable action) {
        at(nowMillis + delayMillis, action);
    }

    /** Advances the time by a span and runs all tasks that become due. */
    void run(long spanMillis) {
        long end = nowMillis + spanMillis;
        while (!queue.isEmpty() && queue.peek().atMillis() <= end) {
            Work work = queue.poll();
            nowMillis = work.atMillis();
            work.action().run();
        }
        nowMillis = end;
    }
}
