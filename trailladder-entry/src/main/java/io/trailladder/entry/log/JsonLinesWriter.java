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
import java.io.IOException;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes every log entry as one JSON object on one line of a {@link LineQueue}. tinylog's own JSON
 * writer needs a file, and entries have no disk.
 *
 * @since 0.1
 */
public final class JsonLinesWriter implements Writer {
    /** Property that names the stream: {@code out} or {@code err}. */
    public static final String STREAM_PROPERTY = "stream";

    private static final JsonFactory JSON = new JsonFactory();

    private final LineQueue queue;

    /**
     * Creates the writer; called by tinylog.
     *
     * @param properties settings: {@value #STREAM_PROPERTY}
     */
    public JsonLinesWriter(Map<String, String> properties) {
        queue = LineQueue.of("out".equals(properties.get(STREAM_PROPERTY)));
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
        queue.add(new Line(entry));
    }

    @Override
    public void flush() {
        queue.flush();
    }

    @Override
    public void close() {
        queue.flush();
    }

    /** Formats an entry when it is written. */
    private record Line(LogEntry entry) {
        @Override
        public String toString() {
            return line(entry);
        }
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
        json.writeStringField("message", entry.getMessage());
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
