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

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Runs tasks periodically. A run that fails is logged and does not cancel later runs, as it would
 * with the JDK's executors alone.
 *
 * @since 0.1
 */
public final class PeriodicTasks {
    private PeriodicTasks() {}

    /**
     * Creates the timer of an entry. Tasks submitted after its shutdown are discarded.
     *
     * @param threads the number of threads
     * @return the timer
     */
    public static ScheduledExecutorService newTimer(int threads) {
        return new ScheduledThreadPoolExecutor(
                threads, PeriodicTasks::daemon, new ThreadPoolExecutor.DiscardPolicy());
    }

    /**
     * Runs a task periodically, with a fixed delay before the first run and after each run.
     *
     * @param timer the executor
     * @param name the name of the task in the log
     * @param task the task
     * @param delayMillis the delay, in milliseconds
     */
    public static void repeat(
            ScheduledExecutorService timer, String name, Runnable task, long delayMillis) {
        timer.scheduleWithFixedDelay(
                () -> runLogged(name, task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static void runLogged(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "periodic task {} failed; it runs again after its delay", name);
        }
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "timer");
        thread.setDaemon(true);
        return thread;
    }
}
