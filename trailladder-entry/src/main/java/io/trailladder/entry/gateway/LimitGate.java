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

import io.trailladder.core.pipeline.ServingRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Has requests wait for units of their organisations' limits. Each leaves the gate exactly once, at
 * its deadline at the latest; units that come later are given back.
 *
 * @param <R> a request
 */
final class LimitGate<R> {
    /** Bounds of the time that a request waits for units, in milliseconds. */
    private static final long MIN_WAIT_MILLIS = 30;

    private static final long MAX_WAIT_MILLIS = 250;

    private final Quotas quotas;
    private final LongSupplier nowMillis;
    private final Timer timer;
    private final Listener<R> listener;
    private final Set<Wait> waiting = new LinkedHashSet<>();

    /** Schedules tasks. */
    interface Timer {
        /** Runs a task after a delay in milliseconds; returns what cancels it. */
        Runnable schedule(long delayMillis, Runnable task);
    }

    /** Receives the requests that leave the gate. */
    interface Listener<R> {
        /** Whether the caller of a request has disconnected. */
        boolean isOver(R request);

        /** The request has taken its units. Its caller is there. */
        void admitted(R request);

        /** The request is over the limit; a retry may succeed after some milliseconds. */
        void overLimit(R request, long retryAfterMillis);

        /** The limit was taken away. */
        void withdrawn(R request);

        /** The deadline of the request has passed. */
        void expired(R request);
    }

    /**
     * Creates a gate.
     *
     * @param quotas the limits
     * @param nowMillis supplies the current time, in milliseconds
     * @param timer schedules tasks
     * @param listener receives the requests that leave
     */
    LimitGate(Quotas quotas, LongSupplier nowMillis, Timer timer, Listener<R> listener) {
        this.quotas = quotas;
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.listener = listener;
    }

    /**
     * Takes the units of a request, after waiting if this process holds too few.
     *
     * @param request the request; it may leave during this call
     * @param serving its organisation, route and deadline
     * @param units its size in the units of the limit
     */
    void enter(R request, ServingRequest serving, int units) {
        long now = nowMillis.getAsLong();
        Wait wait = new Wait(request, serving, units);
        waiting.add(wait);
        quotas.request(serving.organisation(), units, maxWaitMillis(serving), now, wait);
        if (waiting.contains(wait)) {
            wait.cancelDeadline =
                    timer.schedule(serving.deadlineMillis() - now, wait::deadlineReached);
        }
    }

    /**
     * Returns how long a request waits for units of other processes, in milliseconds: a small part
     * of its objective, since it may still be refused then.
     */
    private static long maxWaitMillis(ServingRequest request) {
        long part = request.route().objectiveMillis() / 4;
        return Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, part));
    }

    /** Returns the number of requests that wait. */
    int size() {
        return waiting.size();
    }

    /**
     * Ends the waits of some requests.
     *
     * @param test selects the requests
     * @param ended receives each of them
     */
    void end(Predicate<R> test, Consumer<R> ended) {
        for (Wait wait : List.copyOf(waiting)) {
            if (test.test(wait.request) && wait.leave()) {
                ended.accept(wait.request);
            }
        }
    }

    /** Gives back the units of a request that is not served. */
    void giveBack(ServingRequest serving, int units) {
        quotas.add(serving.organisation(), units, nowMillis.getAsLong());
    }

    /** One request at the gate. */
    private final class Wait implements Quotas.Outcome {
        private final R request;
        private final ServingRequest serving;
        private final int units;
        private Runnable cancelDeadline = () -> {};

        Wait(R request, ServingRequest serving, int units) {
            this.request = request;
            this.serving = serving;
            this.units = units;
        }

        /** Returns false if the request has left before. */
        private boolean leave() {
            cancelDeadline.run();
            return waiting.remove(this);
        }

        @Override
        public void admitted() {
            if (leave() && !listener.isOver(request)) {
                listener.admitted(request);
            } else {
                giveBack(serving, units);
            }
        }

        @Override
        public void refused(long retryAfterMillis) {
            if (leave()) {
                listener.overLimit(request, retryAfterMillis);
            }
        }

        @Override
        public void withdrawn() {
            if (leave()) {
                listener.withdrawn(request);
            }
        }

        private void deadlineReached() {
            if (leave()) {
                listener.expired(request);
            }
        }
    }
}
