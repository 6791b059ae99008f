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

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes every log entry as one JSON object on one line of standard error.
 *
 * <p>tinylog's own JSON writer needs a file, and entries have no disks.
 *
 * @since 0.1
 */
public final class JsonLinesWriter implements Writer {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out =
            new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);

    /**
     * Creates the writer; called by tinylog.
     *
     * @param properties settings, of which there are none
     */
    public JsonLinesWriter(Map<String, String> properties) {}

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.CONTEXT,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        ObjectNode line = JSON.createObjectNode();
        line.put("time", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().name());
        line.put("class", entry.getClassName());
        line.put("message", entry.getMessage());
        if (entry.getContext() != null) {
            entry.getContext().forEach(line::put);
        }
        if (entry.getException() != null) {
            line.put("exception", entry.getException().toString());
        }
        out.println(line);
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
