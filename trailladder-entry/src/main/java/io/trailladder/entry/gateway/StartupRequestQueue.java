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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Holds requests that come while a process that has just started reads policy and upstreams. The
 * caller is served a moment later in place of being sent away, to a process that has perhaps just
 * started as well.
 *
 * @param <R> a request
 */
final class StartupRequestQueue<R> {
    /**
     * Longest time that a request is held, in milliseconds: policy and upstreams are two reads of
     * the store, which take 4 ms each and some tenths of a second where all processes read at once.
     */
    static final long MAX_HOLD_MILLIS = 300;

    /**
     * How long after its start a process holds requests, in milliseconds. One that knows nothing by
     * then has lost the store, and cannot tell when that will be back.
     */
    static final long STARTUP_WINDOW_MILLIS = 1_500;

    private static final long CHECK_INTERVAL_MILLIS = 10;

    /** Most requests that are held, so that memory is bounded: some megabytes. */
    private static final int MAX_HELD_REQUESTS = 200;

    private final LongSupplier nowMillis;
    private final Timer timer;
    private final BooleanSupplier stateKnown;
    private final Outcome<R> outcome;
    private final long startedMillis;
    private final Deque<Held<R>> held = new ArrayDeque<>();

    /** Runs a task later. */
    interface Timer {
        /** Runs a task after a delay in milliseconds. */
        void schedule(long delayMillis, Runnable task);
    }

    /** What becomes of a request that was held. */
    interface Outcome<R> {
        /** Takes a request now that policy and upstreams are known. */
        void accepted(R request);

        /** Takes a request that cannot be held any longer. */
        void refused(R request);

        /** Tells whether the caller has left. */
        boolean isOver(R request);
    }

    /** One request, and when it came. */
    private record Held<R>(R request, long sinceMillis) {}

    /**
     * Creates the holder; the process starts now.
     *
     * @param nowMillis tells the time
     * @param timer runs tasks later
     * @param informed tells whether policy and upstreams are known
     * @param outcome takes the requests
     */
    StartupRequestQueue(
            LongSupplier nowMillis, Timer timer, BooleanSupplier informed, Outcome<R> outcome) {
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.stateKnown = informed;
        this.outcome = outcome;
        this.startedMillis = nowMillis.getAsLong();
    }

    /**
     * Tells whether requests have to wait for policy or upstreams.
     *
     * @return true until both are known
     */
    boolean isStateUnknown() {
        return !stateKnown.getAsBoolean();
    }

    /** Holds a request, or refuses it at once if waiting would not help. */
    void hold(R request) {
        long now = nowMillis.getAsLong();
        if (now - startedMillis >= STARTUP_WINDOW_MILLIS || held.size() >= MAX_HELD_REQUESTS) {
            outcome.refused(request);
            return;
        }
        held.addLast(new Held<>(request, now));
        if (held.size() == 1) {
            timer.schedule(CHECK_INTERVAL_MILLIS, this::check);
        }
    }

    private void check() {
        held.removeIf(waiting -> outcome.isOver(waiting.request()));
        while (!held.isEmpty() && stateKnown.getAsBoolean()) {
            outcome.accepted(held.removeFirst().request());
        }
        long oldest = nowMillis.getAsLong() - MAX_HOLD_MILLIS;
        while (!held.isEmpty() && held.peekFirst().sinceMillis() <= oldest) {
            outcome.refused(held.removeFirst().request());
        }
        if (!held.isEmpty()) {
            timer.schedule(CHECK_INTERVAL_MILLIS, this::check);
        }
    }
}
