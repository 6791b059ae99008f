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
 * Splits the body of an event stream into complete events, so that a stream that is interrupted
 * within an event can be resumed at another upstream.
 *
 * @since 0.2
 */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a'};
    private static final byte COMMENT = ':';

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /**
     * A complete event.
     *
     * @param id the value of its {@code id} field; empty if it has none
     * @param bytes its bytes, including the empty line that ends it
     * @param hasData true if it has a {@code data} field; a block without one, such as a comment,
     *     is no event to its receiver
     */
    public record StreamEvent(String id, byte[] bytes, boolean hasData) {
        /**
         * Returns whether it consists only of comments, which upstreams send to keep a connection.
         *
         * @return true if it has no field
         */
        public boolean isComment() {
            return !hasField(bytes);
        }
    }

    /**
     * Appends a part of the body.
     *
     * @param bytes the part
     * @return the events that this part completes
     */
    public List<StreamEvent> append(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        int from = 0;
        for (int at = 0; at < bytes.length; at++) {
            byte b = bytes[at];
            if (b == '\n' && lineEmpty) {
                byte[] event = completeEvent(bytes, from, at + 1);
                from = at + 1;
                events.add(new StreamEvent(idOf(event), event, hasData(event)));
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
     * Returns the bytes after the last complete event.
     *
     * @return the bytes; empty if the body so far ends with a complete event
     */
    public byte[] remainder() {
        return pending.toByteArray();
    }

    /**
     * Returns the number of bytes after the last complete event.
     *
     * @return the number of buffered bytes
     */
    public int pendingBytes() {
        return pending.size();
    }

    /**
     * Returns whether the body so far ends inside an event. Lines that are only comments belong to
     * no event.
     *
     * @return false after a complete event, and before the first one
     */
    public boolean endsInsideEvent() {
        return hasField(remainder());
    }

    private static boolean hasField(byte[] bytes) {
        boolean lineStart = true;
        for (byte b : bytes) {
            if (lineStart && b != COMMENT && b != '\r' && b != '\n') {
                return true;
            }
            lineStart = b == '\n';
        }
        return false;
    }

    private byte[] completeEvent(byte[] bytes, int from, int to) {
        if (pending.size() == 0) {
            return Arrays.copyOfRange(bytes, from, to);
        }
        pending.write(bytes, from, to - from);
        byte[] event = pending.toByteArray();
        pending.reset();
        return event;
    }

    /** Returns the value of the first {@code id} line of an event; empty if there is none. */
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

    private static boolean hasData(byte[] event) {
        int line = 0;
        while (line < event.length) {
            if (isDataLine(event, line)) {
                return true;
            }
            while (line < event.length && event[line] != '\n') {
                line++;
            }
            line++;
        }
        return false;
    }

    private static boolean isDataLine(byte[] event, int from) {
        int end = from + DATA_FIELD.length;
        if (end >= event.length
                || !Arrays.equals(event, from, end, DATA_FIELD, 0, DATA_FIELD.length)) {
            return false;
        }
        return event[end] == ':' || event[end] == '\n' || event[end] == '\r';
    }

    private static boolean isIdLine(byte[] event, int from, int to) {
        return to - from >= ID_FIELD.length()
                && event[from] == 'i'
                && event[from + 1] == 'd'
                && event[from + 2] == ':';
    }
}
