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

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Buffers the log lines of a process during startup and writes them later: on a third of a core,
 * each millisecond spent on lines delays callers by three more after a restart.
 *
 * <pre>{@code
 * EarlyLines.hold();
 * EarlyLines.keep(line); // true: it is written by release()
 * EarlyLines.release();
 * }</pre>
 *
 * @since 0.4
 */
public final class EarlyLines {
    /**
     * Maximum number of buffered lines: some seconds of a busy process. Further lines are written
     * at once.
     */
    private static final int MAX_LINES = 4_096;

    private static volatile boolean holding;
    private static Deque<Object> kept = new ArrayDeque<>();

    private EarlyLines() {}

    /** Starts to buffer lines. */
    public static void hold() {
        holding = true;
    }

    /**
     * Buffers a line if buffering is on and the buffer is not full.
     *
     * @param line the line; its {@code toString()} is called when it is written
     * @return false if the caller must write it
     */
    public static boolean keep(Object line) {
        if (!holding) {
            return false;
        }
        synchronized (EarlyLines.class) {
            return holding && kept.size() < MAX_LINES && kept.add(line);
        }
    }

    /** Writes all buffered lines in order, and stops buffering. */
    public static void release() {
        Deque<Object> lines = take();
        while (!lines.isEmpty()) {
            lines.forEach(line -> LineQueue.shared().add(line.toString()));
            lines = take();
        }
    }

    /** Takes the lines buffered so far; stops buffering if there are none. */
    private static synchronized Deque<Object> take() {
        Deque<Object> lines = kept;
        kept = new ArrayDeque<>();
        holding = holding && !lines.isEmpty();
        return lines;
    }
}
