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

import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.ReservationKind;
import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.EventSplitter.StreamEvent;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;

/**
 * Relays an upstream's answer to the caller. A stream is relayed event by event as it arrives; any
 * other answer is buffered and sent when it is complete, unless it is too large to buffer.
 */
final class AnswerRelay {
    private static final int MAX_SUCCESS_STATUS = 299;
    private static final String EVENT_STREAM_TYPE = "text/event-stream";

    private final MemoryManager memory;
    private final MemoryAccount.Reservation reservation;
    private final ServerExchange exchange;
    private final AttemptHistory history;
    private final boolean stream;
    private final StreamOrder order;
    private final Runnable onFirstByte;
    private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private EventSplitter splitter = new EventSplitter();
    private HeaderList headers = HeaderList.EMPTY;
    private int status;
    private boolean relaying;
    private boolean eventStream;
    private boolean eventsSeen;

    /**
     * Creates a relay for the answer to one request.
     *
     * @param memory limits the bytes that are buffered
     * @param exchange the caller's exchange
     * @param history records what was relayed
     * @param stream true if the answer is an event stream
     * @param order decides which of its events are relayed
     * @param onFirstByte runs when the first byte of the answer is sent
     */
    AnswerRelay(
            MemoryManager memory,
            ServerExchange exchange,
            AttemptHistory history,
            boolean stream,
            StreamOrder order,
            Runnable onFirstByte) {
        this.memory = memory;
        this.reservation = memory.account().open(ReservationKind.ANSWERS_PARSED);
        this.exchange = exchange;
        this.history = history;
        this.stream = stream;
        this.order = order;
        this.onFirstByte = onFirstByte;
    }

    /** Discards the incomplete event that a failed attempt left behind. */
    void newAttempt(Upstream upstream) {
        splitter = new EventSplitter();
        order.newAttempt(upstream);
    }

    void head(int answerStatus, HeaderList fields) {
        status = answerStatus;
        headers = fields;
        buffered.reset();
        relaying = stream && answerStatus <= MAX_SUCCESS_STATUS;
        eventStream = relaying && mayBeEventStream(fields);
        if (relaying && !eventStream) {
            order.answerIsNoEventStream();
        }
    }

    private static boolean mayBeEventStream(HeaderList fields) {
        return fields.first("Content-Type")
                .map(type -> type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM_TYPE))
                .orElse(true);
    }

    /** Relays or buffers a part of the body; returns the number of events that were relayed. */
    int body(byte[] bytes) {
        if (relaying && stream) {
            int events = relayEvents(splitter.append(bytes));
            eventsSeen |= events > 0;
            reservePending(splitter.pendingBytes());
            return events;
        }
        if (relaying) {
            relayBytes(bytes);
            return 0;
        }
        buffered.writeBytes(bytes);
        if (buffered.size() > memory.maxBufferedAnswerBytes()) {
            relaying = true;
            relayBytes(buffered.toByteArray());
            buffered = new ByteArrayOutputStream();
        }
        reservation.set(buffered.size());
        return 0;
    }

    /** Ends the answer after the upstream has sent all of it. */
    void end() {
        if (relaying) {
            relayBytes(splitter.remainder());
            begin();
            exchange.end();
        } else {
            respondBuffered();
        }
    }

    /** Sends the buffered bytes as the complete answer. */
    void respondBuffered() {
        onFirstByte.run();
        exchange.respond(status, headers.endToEnd(), buffered.toByteArray());
    }

    int status() {
        return status;
    }

    /**
     * Returns whether the part of the answer that has arrived is less than a whole stream.
     *
     * @param framed true if the length or the chunks of the answer say that it is complete
     */
    boolean isIncompleteStream(boolean framed) {
        boolean empty = !eventsSeen && history.lastEventId().isEmpty();
        return eventStream && (splitter.endsInsideEvent() || (!framed && empty));
    }

    /** Returns whether what the attempt sends does not continue what was relayed before. */
    boolean isOutOfOrder() {
        return order.isBroken();
    }

    /** Returns the number of bytes of a stream after its last complete event. */
    int incompleteBytes() {
        return splitter.pendingBytes();
    }

    /** Releases the reserved bytes; nothing more is relayed. */
    void close() {
        reservation.close();
    }

    /**
     * Reserves the bytes of an incomplete event. An event above the bound cuts the answer, since an
     * event that never ends would be buffered without limit.
     */
    private void reservePending(int bytes) {
        reservation.set(bytes);
        if (bytes > memory.account().budget().answerBytes()) {
            memory.cut(exchange, MemoryManager.CutReason.EVENT_TOO_LARGE);
        }
    }

    private int relayEvents(List<StreamEvent> events) {
        int relayed = 0;
        for (StreamEvent event : events) {
            if (eventStream && !order.accepts(event.id())) {
                break;
            }
            relayBytes(event.bytes());
            relayed++;
            if (!event.isComment()) {
                history.eventForwarded(event.id());
            }
        }
        return relayed;
    }

    private void relayBytes(byte[] bytes) {
        if (bytes.length > 0) {
            begin();
            exchange.write(bytes);
        }
    }

    private void begin() {
        if (!history.hasAnswerStarted()) {
            history.answerStarted();
            exchange.begin(status, headers.endToEnd(), -1);
            onFirstByte.run();
        }
    }
}
