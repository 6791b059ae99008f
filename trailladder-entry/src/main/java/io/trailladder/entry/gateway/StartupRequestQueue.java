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
 * Holds requests that arrive while a process that has just started reads policy and upstreams. The
 * caller is served a moment later instead of being refused and sent to another process, which may
 * have just started as well.
 *
 * @param <R> type of the requests
 */
final class StartupRequestQueue<R> {
    /**
     * Longest time that a request is held, in milliseconds. Reading policy and upstreams takes two
     * reads of the store, which take 4 ms each, and some tenths of a second if all processes read
     * at once.
     */
    static final long MAX_HOLD_MILLIS = 300;

    /**
     * Time after the start during which a process holds requests, in milliseconds. A process
     * without policy or upstreams after that time cannot reach the store, and does not know when it
     * can.
     */
    static final long STARTUP_WINDOW_MILLIS = 1_500;

    private static final long CHECK_INTERVAL_MILLIS = 10;

    /** Maximum number of requests that are held, which limits their memory to some megabytes. */
    private static final int MAX_HELD_REQUESTS = 200;

    private final LongSupplier nowMillis;
    private final Timer timer;
    private final BooleanSupplier stateKnown;
    private final Outcome<R> outcome;
    private final long startedMillis;
    private final Deque<Held<R>> held = new ArrayDeque<>();

    /** Schedules tasks. */
    interface Timer {
        /** Runs a task after a delay in milliseconds. */
        void schedule(long delayMillis, Runnable task);
    }

    /** Receives the requests that were held. */
    interface Outcome<R> {
        /**
         * Handles a request after policy and upstreams have become known.
         *
         * @param request the request
         * @param sinceMillis since when it was held, in milliseconds
         */
        void accepted(R request, long sinceMillis);

        /** Refuses a request that cannot be held, or not any longer. */
        void refused(R request);

        /** Whether the caller has disconnected. */
        boolean isOver(R request);
    }

    /** A request and the time it arrived. */
    private record Held<R>(R request, long sinceMillis) {}

    /**
     * Creates a queue; the current time counts as the start of the process.
     *
     * @param nowMillis supplies the current time, in milliseconds
     * @param timer schedules tasks
     * @param stateKnown whether policy and upstreams are known
     * @param outcome receives the requests
     */
    StartupRequestQueue(
            LongSupplier nowMillis, Timer timer, BooleanSupplier stateKnown, Outcome<R> outcome) {
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.stateKnown = stateKnown;
        this.outcome = outcome;
        this.startedMillis = nowMillis.getAsLong();
    }

    /**
     * Whether requests have to wait because policy or upstreams are unknown.
     *
     * @return true until both are known
     */
    boolean isStateUnknown() {
        return !stateKnown.getAsBoolean();
    }

    /** Holds a request, or refuses it at once after the startup window or if the queue is full. */
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

    /** Refuses all requests that are held. */
    void refuseAll() {
        while (!held.isEmpty()) {
            outcome.refused(held.removeFirst().request());
        }
    }

    private void check() {
        held.removeIf(waiting -> outcome.isOver(waiting.request()));
        while (!held.isEmpty() && stateKnown.getAsBoolean()) {
            Held<R> first = held.removeFirst();
            outcome.accepted(first.request(), first.sinceMillis());
        }
        long oldestMillis = nowMillis.getAsLong() - MAX_HOLD_MILLIS;
        while (!held.isEmpty() && held.peekFirst().sinceMillis() <= oldestMillis) {
            outcome.refused(held.removeFirst().request());
        }
        if (!held.isEmpty()) {
            timer.schedule(CHECK_INTERVAL_MILLIS, this::check);
        }
    }
}
