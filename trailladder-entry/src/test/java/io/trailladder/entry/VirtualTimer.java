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

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The timer of a simulated process: drops tasks once it is lost, defers them while it is frozen.
 */
final class VirtualTimer extends AbstractExecutorService implements ScheduledExecutorService {
    private final VirtualClock clock;
    private final Queue<Runnable> pending = new ArrayDeque<>();
    private boolean lost;
    private boolean frozen;

    VirtualTimer(VirtualClock clock) {
        this.clock = clock;
    }

    /** Runs a task of the process, after the freeze if it is frozen, never if it is lost. */
    void run(Runnable work) {
        if (frozen) {
            pending.add(work);
        } else if (!lost) {
            work.run();
        }
    }

    boolean isRunning() {
        return !lost && !frozen;
    }

    boolean isLost() {
        return lost;
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        while (!pending.isEmpty()) {
            run(pending.poll());
        }
    }

    private static final class Scheduled<V> extends FutureTask<V> implements ScheduledFuture<V> {
        Scheduled(Callable<V> work) {
            super(work);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> work, long delay, TimeUnit unit) {
        Scheduled<V> scheduled = new Scheduled<>(work);
        clock.after(unit.toMillis(delay), () -> run(scheduled));
        return scheduled;
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable work, long delay, TimeUnit unit) {
        return schedule(Executors.callable(work), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable work, long first, long delay, TimeUnit unit) {
        Runnable again =
                () -> {
                    work.run();
                    scheduleWithFixedDelay(work, delay, delay, unit);
                };
        return schedule(again, first, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable work, long first, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(work, first, period, unit);
    }

    @Override
    public void execute(Runnable work) {
        clock.after(0, () -> run(work));
    }

    @Override
    public void shutdown() {
        lost = true;
        pending.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        shutdown();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return lost;
    }

    @Override
    public boolean isTerminated() {
        return lost;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return lost;
    }
}
