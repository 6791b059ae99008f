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
package io.trailladder.entry.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A queue of log lines for an output, written by a dedicated thread.
 *
 * <p>The logging thread never waits and formats no text. Lines that do not fit into the bounded
 * queue are dropped and counted, and the count is written before the next batch.
 *
 * <pre>{@code
 * LineQueue.shared().add(line); // line.toString() is called by the writing thread
 * }</pre>
 *
 * @since 0.5
 */
public final class LineQueue {
    /**
     * Property that names the output: {@code out} for standard output, any other value for standard
     * error.
     */
    public static final String STREAM_PROPERTY = "tinylog.writer.stream";

    private static final int MAX_WAITING = 4_096;
    private static final int MAX_BATCH = 512;

    /**
     * Pause between two batches, in milliseconds, so that a busy process writes ten times a second.
     */
    private static final long PAUSE_MILLIS = 100;

    private final OutputStream out;
    private final BlockingQueue<Object> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();

    /** Holds the queue of standard output, created at its first use. */
    private static final class ToOutput {
        private static final LineQueue QUEUE = new LineQueue(FileDescriptor.out);
    }

    private static final class ToErrors {
        private static final LineQueue QUEUE = new LineQueue(FileDescriptor.err);
    }

    private LineQueue(FileDescriptor output) {
        this(new FileOutputStream(output));
        Thread thread = new Thread(this::run, "log-writer");
        thread.setDaemon(true);
        thread.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::flush, "log-end"));
    }

    /** Creates a queue that writes only when it is flushed. */
    LineQueue(OutputStream out) {
        this.out = out;
    }

    /**
     * Returns the queue of the output named by the system property {@value #STREAM_PROPERTY}.
     *
     * @return the one queue of that output
     */
    public static LineQueue shared() {
        return of("out".equals(System.getProperty(STREAM_PROPERTY)));
    }

    /**
     * Returns the queue of an output.
     *
     * @param toOutput true for standard output, false for standard error
     * @return the one queue of that output
     */
    public static LineQueue of(boolean toOutput) {
        return toOutput ? ToOutput.QUEUE : ToErrors.QUEUE;
    }

    /**
     * Adds a line to be written. Never waits. May be called on any thread.
     *
     * @param line the line; its {@code toString()}, without a line end, is called when it is
     *     written
     */
    public void add(Object line) {
        if (!waiting.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Writes all queued lines. */
    public void flush() {
        List<Object> batch = new ArrayList<>();
        while (waiting.drainTo(batch, MAX_BATCH) > 0) {
            write(batch);
            batch.clear();
        }
    }

    private void run() {
        while (true) {
            try {
                write(List.of(waiting.take()));
                flush();
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void write(List<Object> batch) {
        StringBuilder lines = new StringBuilder();
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            lines.append("{\"level\":\"WARN\",\"dropped_lines\":").append(lost).append("}\n");
        }
        for (Object line : batch) {
            lines.append(line).append('\n');
        }
        try {
            out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // the output is closed, and there is no other place to report it
            dropped.addAndGet(lost + batch.size());
        }
    }
}
