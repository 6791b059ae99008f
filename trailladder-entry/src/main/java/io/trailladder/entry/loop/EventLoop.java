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

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.memory.ThreadLocalPool;
import org.glassfish.grizzly.memory.ThreadLocalPoolProvider;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.DefaultWorkerThread;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.tinylog.Logger;

/**
 * The single thread that runs all input, output and timers of a process. State that is accessed
 * only by its tasks needs no locks.
 *
 * <p>The thread is the selector thread of a Grizzly transport.
 *
 * @since 0.2
 */
public final class EventLoop implements AutoCloseable {
    private static final int BACKLOG = 512;

    /**
     * Periodic tasks run at multiples of this time, in milliseconds, so that one wake-up serves
     * several of them. The periods of a process are multiples of it.
     */
    private static final long TICK_MILLIS = 50;

    private final TCPNIOTransport transport;
    private final TimerQueue timers = new TimerQueue();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private volatile Selector selector;
    private volatile Thread thread;

    /**
     * The offset of the ticks, so that processes on one instance do not all wake up at the same
     * time.
     */
    private final long tickOffsetNanos = System.nanoTime();

    /** Creates a loop that is not yet running. */
    public EventLoop() {
        transport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorRunnersCount(1)
                        .setSelectorHandler(new LoopSelectorHandler(this))
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setServerConnectionBackLog(BACKLOG)
                        .build();
        transport.setKernelThreadPoolConfig(
                ThreadPoolConfig.defaultConfig()
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1)
                        .setThreadFactory(this::newThread));
    }

    /**
     * Creates the loop's thread as Grizzly does, but with a constant name: Grizzly concatenates the
     * name, and linking the concatenation costs about 10 ms of processor time at startup.
     */
    private Thread newThread(Runnable task) {
        MemoryManager<?> memory = transport.getMemoryManager();
        ThreadLocalPool<?> pool =
                memory instanceof ThreadLocalPoolProvider provider
                        ? provider.createThreadLocalPool()
                        : null;
        Thread made =
                new DefaultWorkerThread(
                        Grizzly.DEFAULT_ATTRIBUTE_BUILDER, "event-loop", pool, task);
        made.setDaemon(transport.getKernelThreadPoolConfig().isDaemon());
        return made;
    }

    /**
     * Starts the thread.
     *
     * @throws IOException if no selector can be opened
     */
    public void start() throws IOException {
        transport.start();
    }

    /**
     * Listens at an address.
     *
     * @param address where to listen
     * @param chain filters of accepted connections
     * @return the listening connection, to be closed
     * @throws IOException if the port is taken
     */
    public Connection<?> bind(InetSocketAddress address, FilterChain chain) throws IOException {
        return TCPNIOBindingHandler.builder(transport)
                .processor(chain)
                .build()
                .bind(address, BACKLOG);
    }

    /**
     * Opens a connection. Exactly one of the callbacks runs, if any; there is no timeout. After an
     * attempt is cancelled, {@code failed} may still run.
     *
     * @param address where to connect to
     * @param chain filters of the connection
     * @param opened receives the connection
     * @param failed receives the cause if no connection can be opened
     * @return cancels the attempt, which frees its socket; has no effect on an open connection
     */
    public Runnable connect(
            InetSocketAddress address,
            FilterChain chain,
            Consumer<Connection<?>> opened,
            Consumer<Throwable> failed) {
        PendingConnect pending = new PendingConnect(transport);
        pending.setProcessor(chain);
        pending.connect(
                address,
                new EmptyCompletionHandler<>() {
                    @Override
                    @SuppressWarnings("rawtypes") // Grizzly's own signature
                    public void completed(Connection connection) {
                        pending.end();
                        opened.accept(connection);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        pending.end();
                        failed.accept(cause);
                    }
                });
        return pending::cancel;
    }

    /** Opens one connection. Grizzly offers no other way to give up an attempt in progress. */
    private static final class PendingConnect extends TCPNIOConnectorHandler {
        private Connection<?> connection;
        private boolean ended;

        PendingConnect(TCPNIOTransport transport) {
            super(transport);
        }

        @Override
        @SuppressWarnings("rawtypes") // Grizzly's own signature
        protected void preConfigure(Connection opening) {
            super.preConfigure(opening);
            connection = opening;
        }

        void end() {
            ended = true;
        }

        void cancel() {
            if (!ended && connection != null) {
                ended = true;
                connection.terminateSilently();
            }
        }
    }

    /**
     * Returns the time on the monotonic clock.
     *
     * @return milliseconds since an arbitrary moment
     */
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Runs a task after a delay. Must be called on the loop's thread, or before it has started.
     *
     * @param delayMillis the delay, in milliseconds
     * @param task the task
     * @return the timer, to cancel it
     */
    public LoopTimer schedule(long delayMillis, Runnable task) {
        long delayNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, delayMillis));
        return timers.add(System.nanoTime() + delayNanos, task);
    }

    /**
     * Runs a task periodically, the first time after at most one period. Must be called on the
     * loop's thread, or before it has started. A late run does not shift the following ones, and
     * missed runs are skipped.
     *
     * @param periodMillis time between two runs, in milliseconds
     * @param task the task
     */
    public void repeat(long periodMillis, Runnable task) {
        long periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        long beatNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(TICK_MILLIS, periodMillis));
        long first = System.nanoTime() - tickOffsetNanos + periodNanos;
        repeatAt(tickOffsetNanos + first / beatNanos * beatNanos, periodNanos, task);
    }

    private void repeatAt(long atNanos, long periodNanos, Runnable task) {
        timers.add(
                atNanos,
                () -> {
                    long late = System.nanoTime() - atNanos;
                    repeatAt(atNanos + periodNanos * (1 + late / periodNanos), periodNanos, task);
                    task.run();
                });
    }

    /**
     * Runs a task on the loop's thread, after the current one. May be called on any thread.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        posted.add(task);
        Selector open = selector;
        // the loop checks for tasks before it sleeps; a wake-up from its own thread would cost two
        // system calls
        if (open != null && Thread.currentThread() != thread) {
            open.wakeup();
        }
    }

    @Override
    public void close() throws IOException {
        transport.shutdownNow();
    }

    void runTasks(Selector current) {
        thread = Thread.currentThread();
        selector = current;
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            run(task);
        }
        long now = System.nanoTime();
        for (Runnable task = timers.nextDue(now); task != null; task = timers.nextDue(now)) {
            run(task);
        }
    }

    long sleepMillis() {
        return posted.isEmpty() ? timers.millisToNext(System.nanoTime()) : 0;
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "a task of the event loop failed");
        }
    }
}
