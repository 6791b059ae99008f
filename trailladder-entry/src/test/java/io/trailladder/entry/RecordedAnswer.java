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
package io.trailladder.entry;

import io.trailladder.entry.serve.CallerSink;
import io.trailladder.wire.PeerMessage.Header;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Records one answer of a stream, in place of a caller's connection. */
final class RecordedAnswer implements CallerSink {
    private static final Pattern TOKEN =
            Pattern.compile("id: (\\d+)\ndata: [^\n]*\"text\":\"([^\"]*)\"");

    private final Runnable onOver;
    private final StringBuilder text = new StringBuilder();
    private final StringBuilder bytes = new StringBuilder();
    private Runnable onGone = () -> {};
    private String requestId = "";
    private String outcome = "";
    private int status;
    private int heads;
    private int tokens;
    private int firstEvent = -1;
    private boolean over;

    RecordedAnswer() {
        this(() -> {});
    }

    /**
     * Creates the sink.
     *
     * @param onOver called once, after the end or a break
     */
    RecordedAnswer(Runnable onOver) {
        this.onOver = onOver;
    }

    @Override
    public void head(int newStatus, List<Header> headers) {
        status = newStatus;
        heads++;
        for (Header header : headers) {
            if (header.name().equals("Trailladder-Request")) {
                requestId = header.value();
            } else if (header.name().equals("Trailladder-Outcome")) {
                outcome = header.value();
            }
        }
    }

    @Override
    public void body(byte[] part) {
        String event = new String(part, StandardCharsets.UTF_8);
        bytes.append(event);
        Matcher matcher = TOKEN.matcher(event);
        while (matcher.find()) {
            firstEvent = firstEvent < 0 ? Integer.parseInt(matcher.group(1)) : firstEvent;
            text.append(matcher.group(2));
            tokens++;
        }
    }

    @Override
    public void end() {
        finish();
    }

    @Override
    public void abort() {
        finish();
    }

    private void finish() {
        if (!over) {
            over = true;
            onOver.run();
        }
    }

    /** Breaks the connection, as when the entry is lost. */
    void cut() {
        finish();
    }

    /** Disconnects the caller before the end. */
    void leave() {
        over = true;
        onGone.run();
    }

    @Override
    public boolean writable() {
        return true;
    }

    @Override
    public void whenWritable(Runnable ready) {
        ready.run();
    }

    @Override
    public void whenDisconnected(Runnable action) {
        onGone = action;
    }

    int status() {
        return status;
    }

    int heads() {
        return heads;
    }

    String requestId() {
        return requestId;
    }

    String outcome() {
        return outcome;
    }

    String text() {
        return text.toString();
    }

    /** Returns everything that was sent after the head. */
    String bytes() {
        return bytes.toString();
    }

    int tokens() {
        return tokens;
    }

    int firstEvent() {
        return firstEvent;
    }

    boolean isOver() {
        return over;
    }

    boolean isWhole() {
        return bytes.indexOf("data: [DONE]") >= 0;
    }

    boolean isMoved() {
        return bytes.indexOf("event: moved") >= 0;
    }

    @Override
    public String toString() {
        return status
                + " "
                + tokens
                + " tokens from "
                + firstEvent
                + (isWhole() ? " whole" : "")
                + (isMoved() ? " moved" : "")
                + (over ? " over" : "");
    }
}
