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

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts the body of an event stream into whole events, so that a stream that breaks off inside an
 * event can go on at another upstream.
 *
 * @since 0.2
 */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /**
     * A whole event.
     *
     * @param id its name; empty if it has none
     * @param bytes its bytes, with the empty line that ends it
     */
    public record StreamEvent(String id, byte[] bytes) {}

    /**
     * Takes a part of the body.
     *
     * @param bytes the part
     * @return the events that are whole with it
     */
    public List<StreamEvent> append(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        int from = 0;
        for (int at = 0; at < bytes.length; at++) {
            byte b = bytes[at];
            if (b == '\n' && lineEmpty) {
                byte[] whole = completeEvent(bytes, from, at + 1);
                from = at + 1;
                events.add(new StreamEvent(idOf(whole), whole));
            } else if (b == '\n') {
                lineEmpty = true;
            } else if (b != '\r') {
                lineEmpty = false;
            }
        }
        pending.write(bytes, from, bytes.length - from);
        return events;
    }

    /**
     * Returns the bytes after the last whole event.
     *
     * @return the bytes; none if the body ended with a whole event
     */
    public byte[] remainder() {
        return pending.toByteArray();
    }

    /**
     * Returns how many bytes came after the last whole event.
     *
     * @return bytes that are held back
     */
    public int pendingBytes() {
        return pending.size();
    }

    private byte[] completeEvent(byte[] bytes, int from, int to) {
        if (pending.size() == 0) {
            return Arrays.copyOfRange(bytes, from, to);
        }
        pending.write(bytes, from, to - from);
        byte[] whole = pending.toByteArray();
        pending.reset();
        return whole;
    }

    /** Returns the rest of the first line that names the event. */
    private static String idOf(byte[] event) {
        int line = 0;
        while (line < event.length) {
            int end = line;
            while (end < event.length && event[end] != '\n') {
                end++;
            }
            if (isIdLine(event, line, end)) {
                int value = line + ID_FIELD.length();
                return new String(event, value, end - value, StandardCharsets.UTF_8).trim();
            }
            line = end + 1;
        }
        return "";
    }

    private static boolean isIdLine(byte[] event, int from, int to) {
        return to - from >= ID_FIELD.length()
                && event[from] == 'i'
                && event[from + 1] == 'd'
                && event[from + 2] == ':';
    }
}
