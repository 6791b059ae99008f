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

/**
 * A task that the event loop runs at a given time unless it is cancelled first.
 *
 * @since 0.2
 */
public final class LoopTimer implements Comparable<LoopTimer> {
    private final long atNanos;
    private final long order;
    private Runnable task;

    LoopTimer(long atNanos, long order, Runnable task) {
        this.atNanos = atNanos;
        this.order = order;
        this.task = task;
    }

    /** Cancels the task; does nothing if it has run. */
    public void cancel() {
        task = null;
    }

    @Override
    public int compareTo(LoopTimer other) {
        int byTime = Long.compare(atNanos - other.atNanos, 0);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }

    long atNanos() {
        return atNanos;
    }

    boolean isCancelled() {
        return task == null;
    }

    Runnable take() {
        Runnable taken = task;
        task = null;
        return taken;
    }
}
