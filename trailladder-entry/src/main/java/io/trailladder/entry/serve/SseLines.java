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
package io.trailladder.entry.serve;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Extracts the {@code data:} lines of server-sent events from bytes that arrive in parts.
 *
 * @since 0.1
 */
final class SseLines {
    /** Maximum length of a line, in bytes. */
    static final int MAX_LINE_BYTES = 64 * 1024;

    private static final String DATA = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Receives the data of one event. */
    interface Consumer {
        void accept(String data) throws IOException;
    }

    /**
     * Adds the next bytes and passes the data of each line that they complete to the consumer.
     * Throws an {@link IOException} if a line is too long.
     */
    void add(byte[] bytes, Consumer consumer) throws IOException {
        for (byte next : bytes) {
            if (next != '\n') {
                line.write(next);
                if (line.size() > MAX_LINE_BYTES) {
                    throw new IOException("event line longer than " + MAX_LINE_BYTES + " bytes");
                }
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            if (text.startsWith(DATA)) {
                consumer.accept(text.substring(DATA.length()).trim());
            }
        }
    }
}
