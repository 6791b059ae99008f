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

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes every log entry as one JSON object on one line, on a thread of its own.
 *
 * <p>The thread that logs never waits: lines beyond a bounded queue are dropped and counted, and
 * the next line that is written tells how many. tinylog's own JSON writer needs a file, and entries
 * have no disks.
 *
 * @since 0.1
 */
public final class JsonLinesWriter implements Writer {
    /** Property that names the stream: {@code out} or {@code err}. */
    public static final String STREAM_PROPERTY = "stream";

    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_WAITING = 4_096;
    private static final int MAX_BATCH = 512;
    private static final long PAUSE_MILLIS = 100;

    private final PrintStream out;
    private final BlockingQueue<LogEntry> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private volatile boolean closing;

    /**
     * Creates the writer; called by tinylog.
     *
     * @param properties settings: {@value #STREAM_PROPERTY}
     */
    public JsonLinesWriter(Map<String, String> properties) {
        boolean toOutput = "out".equals(properties.get(STREAM_PROPERTY));
        FileDescriptor stream = toOutput ? FileDescriptor.out : FileDescriptor.err;
        out = new PrintStream(new FileOutputStream(stream), false, StandardCharsets.UTF_8);
        Thread thread = new Thread(this::run, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.MESSAGE,
                LogEntryValue.CONTEXT,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        if (!waiting.offer(entry)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        writeWaiting();
    }

    @Override
    public void close() {
        closing = true;
        writeWaiting();
    }

    private void run() {
        while (!closing) {
            try {
                LogEntry first = waiting.take();
                writeBatch(List.of(first));
                writeWaiting();
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void writeWaiting() {
        List<LogEntry> batch = new ArrayList<>();
        while (waiting.drainTo(batch, MAX_BATCH) > 0) {
            writeBatch(batch);
            batch.clear();
        }
    }

    private synchronized void writeBatch(List<LogEntry> batch) {
        StringBuilder lines = new StringBuilder();
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            lines.append("{\"level\":\"WARN\",\"dropped_lines\":").append(lost).append("}\n");
        }
        batch.forEach(entry -> lines.append(line(entry)).append('\n'));
        out.print(lines);
        out.flush();
    }

    private static String line(LogEntry entry) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            fields(entry, json);
            json.writeEndObject();
        } catch (IOException e) {
            return "{\"level\":\"WARN\",\"message\":\"a line could not be written\"}";
        }
        return text.toString();
    }

    private static void fields(LogEntry entry, JsonGenerator json) throws IOException {
        json.writeStringField("time", entry.getTimestamp().toInstant().toString());
        json.writeStringField("level", entry.getLevel().name());
        String message = entry.getMessage();
        if (message != null && message.startsWith("{")) {
            json.writeFieldName("decision");
            json.writeRawValue(message);
        } else {
            json.writeStringField("message", message);
        }
        if (entry.getContext() != null) {
            for (Map.Entry<String, String> field : entry.getContext().entrySet()) {
                json.writeStringField(field.getKey(), field.getValue());
            }
        }
        if (entry.getException() != null) {
            json.writeStringField("exception", entry.getException().toString());
        }
    }
}
