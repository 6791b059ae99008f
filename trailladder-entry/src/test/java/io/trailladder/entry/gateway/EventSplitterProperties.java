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

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.entry.gateway.EventSplitter.StreamEvent;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that a stream is split into complete events, whatever chunks the network delivers. */
class EventSplitterProperties {
    private static final String STREAM =
            "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";

    @Property
    void chunkSizeDoesNotChangeEvents(@ForAll @IntRange(min = 1, max = 20) int chunkSize) {
        EventSplitter splitter = new EventSplitter();
        List<String> ids = new ArrayList<>();
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += chunkSize) {
            int to = Math.min(bytes.length, from + chunkSize);
            byte[] chunk = java.util.Arrays.copyOfRange(bytes, from, to);
            for (StreamEvent event : splitter.append(chunk)) {
                ids.add(event.id());
                joined.writeBytes(event.bytes());
            }
        }
        assertEquals(List.of("1", "2", "3"), ids);
        assertArrayEquals(bytes, joined.toByteArray());
        assertEquals(0, splitter.remainder().length);
    }

    @Example
    void idIsTakenFromTheFirstLineThatSetsIt() {
        EventSplitter splitter = new EventSplitter();
        byte[] bytes = "data: id: 7\nid\nid:8 \nid: 9\n\ni\n\n".getBytes(StandardCharsets.UTF_8);
        List<StreamEvent> events = splitter.append(bytes);
        assertEquals(List.of("8", ""), events.stream().map(StreamEvent::id).toList());
        assertEquals(0, splitter.pendingBytes());
    }

    @Property
    void bodyEndsInsideAnEventUnlessItEndsBetweenTwo(
            @ForAll @IntRange(min = 0, max = 75) int length) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        EventSplitter splitter = new EventSplitter();
        splitter.append(java.util.Arrays.copyOf(bytes, Math.min(length, bytes.length)));
        assertEquals(splitter.pendingBytes() > 0, splitter.endsInsideEvent());
    }

    @Example
    void commentsAfterTheLastEventBelongToNoEvent() {
        EventSplitter splitter = new EventSplitter();
        splitter.append("id: 1\ndata: a\n\n: keep-alive\n: en".getBytes(StandardCharsets.UTF_8));
        assertEquals(false, splitter.endsInsideEvent());
        splitter.append("d\nid".getBytes(StandardCharsets.UTF_8));
        assertEquals(true, splitter.endsInsideEvent());
    }

    @Example
    void incompleteEventIsHeldBack() {
        EventSplitter splitter = new EventSplitter();
        byte[] bytes = "id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8);
        assertEquals(1, splitter.append(bytes).size());
        assertEquals("id: 2\nda", new String(splitter.remainder(), StandardCharsets.UTF_8));
    }

    @Example
    void onlyEventsWithoutAnyFieldAreComments() {
        EventSplitter splitter = new EventSplitter();
        byte[] bytes = ": a\r\n:\n\n\n: a\ndata: b\n\nid: 1\n\n".getBytes(StandardCharsets.UTF_8);
        List<StreamEvent> events = splitter.append(bytes);
        assertEquals(
                List.of(true, true, false, false),
                events.stream().map(StreamEvent::isComment).toList());
    }
}
