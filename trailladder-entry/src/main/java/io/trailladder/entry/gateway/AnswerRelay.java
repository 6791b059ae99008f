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
import io.trailladder.core.pipeline.AttemptFailure;
import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.EventSplitter.StreamEvent;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Relays an upstream's answer to the caller. A stream is relayed event by event as it arrives; any
 * other answer is buffered and sent when it is complete, unless it is too large to buffer.
 */
final class AnswerRelay {
    private static final int MAX_SUCCESS_STATUS = 299;
    private static final int NO_CONTENT = 204;

    /** Largest number of bytes of a stream after an event and up to the next one, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Largest body that is no event stream and whose length is not given, in bytes. */
    private static final int MAX_UNKNOWN_LENGTH_BYTES = 16 << 20;

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
    private boolean eventsOfAttempt;
    private boolean continuedByNothing;
    private boolean bodiless;
    private boolean lengthGiven;
    private boolean unusable;
    private boolean withoutRoom;
    private long bytesSinceEvent;

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

    /** Discards the part of an answer that a failed attempt left behind. */
    void newAttempt(Upstream upstream) {
        dropIncomplete();
        withoutRoom = false;
        eventsOfAttempt = false;
        order.newAttempt(upstream);
    }

    /**
     * Begins an answer.
     *
     * @param answerStatus its status
     * @param fields its header fields
     * @param length the length of its body in bytes; below 0 if not given
     */
    void head(int answerStatus, HeaderList fields, long length) {
        status = answerStatus;
        headers = fields;
        lengthGiven = length >= 0;
        bodiless = answerStatus == NO_CONTENT || exchange.method().equals("HEAD");
        unusable = false;
        withoutRoom = false;
        bytesSinceEvent = 0;
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

    /**
     * Relays or buffers a part of the body.
     *
     * @param bytes the part
     * @param onEvent runs before its first event is relayed
     * @return the number of events that were relayed
     */
    int body(byte[] bytes, Runnable onEvent) {
        bytesSinceEvent += bytes.length;
        if (relaying && stream) {
            return streamBody(bytes, onEvent);
        }
        if (relaying) {
            relayBytes(bytes);
            return 0;
        }
        bufferOrRelay(bytes);
        return 0;
    }

    /** Buffers a part of the body, or begins to relay if there is no room for it. */
    private void bufferOrRelay(byte[] bytes) {
        long size = (long) buffered.size() + bytes.length;
        unusable = size > memory.maxBufferedAnswerBytes() && history.hasAnswerStarted();
        if (unusable) {
            return;
        }
        if (size <= memory.maxBufferedAnswerBytes() && reservation.set(size)) {
            buffered.writeBytes(bytes);
        } else if (history.hasAnswerStarted()) {
            withoutRoom = true;
        } else {
            relaying = true;
            relayBytes(takeBuffered());
            relayBytes(bytes);
        }
    }

    /** Returns the buffered bytes, for which whoever keeps them reserves memory from now on. */
    private byte[] takeBuffered() {
        byte[] bytes = buffered.toByteArray();
        dropIncomplete();
        return bytes;
    }

    private void dropIncomplete() {
        buffered = new ByteArrayOutputStream();
        splitter = new EventSplitter();
        reservation.set(0);
    }

    private int streamBody(byte[] bytes, Runnable onEvent) {
        List<StreamEvent> complete = splitter.append(bytes);
        // before the events are relayed: those that wait for the caller are reserved again there
        withoutRoom = !reservation.set(splitter.pendingBytes());
        if (withoutRoom) {
            dropIncomplete();
        }
        int events = relayEvents(complete, onEvent);
        if (events > 0) {
            eventsSeen = true;
            eventsOfAttempt = true;
            bytesSinceEvent = splitter.pendingBytes();
        }
        return events;
    }

    /**
     * Returns why no more of the answer may be read: its end is not to be expected, or there is no
     * memory for what is incomplete.
     *
     * @return the failure of the attempt; empty if more may be read
     */
    Optional<AttemptFailure> excess() {
        if (isOversized()) {
            return Optional.of(AttemptFailure.OVERSIZED);
        }
        boolean fits = !withoutRoom && splitter.pendingBytes() <= memory.maxBufferedAnswerBytes();
        return fits ? Optional.empty() : Optional.of(AttemptFailure.NO_MEMORY);
    }

    private boolean isOversized() {
        if (!relaying || !stream) {
            return unusable || (!lengthGiven && bytesSinceEvent > MAX_UNKNOWN_LENGTH_BYTES);
        }
        return splitter.pendingBytes() > memory.account().budget().answerBytes()
                || (eventStream && bytesSinceEvent > MAX_EVENT_BYTES);
    }

    /**
     * Returns whether each byte that arrives brings the answer nearer to its end. It does not in an
     * event stream, whose receiver sees only events, nor in a body of which neither the length is
     * known nor a part has been relayed.
     */
    boolean progressesByBytes() {
        return !eventStream && (lengthGiven || history.hasAnswerStarted());
    }

    /** Ends the answer after the upstream has sent all of it. */
    void end() {
        if (relaying) {
            byte[] remainder = splitter.remainder();
            dropIncomplete();
            relayBytes(remainder);
            begin();
            exchange.end();
        } else {
            respondBuffered();
        }
    }

    /** Sends the buffered bytes as the complete answer. */
    void respondBuffered() {
        onFirstByte.run();
        exchange.respond(status, headers.endToEnd(), takeBuffered());
    }

    int status() {
        return status;
    }

    /**
     * Returns whether the part of the answer that has arrived is less than a whole stream, whatever
     * its framing says: it ends inside an event, or its caller gets no event at all.
     */
    boolean isIncompleteStream() {
        boolean empty = !bodiless && !eventsSeen && history.lastEventId().isEmpty();
        return eventStream && (splitter.endsInsideEvent() || empty);
    }

    /**
     * Returns whether the answer that has ended without framing resumes a stream with no event, and
     * is the first one to do so. The caller may lack the end alone, but an upstream that breaks off
     * after its head answers in the same way.
     */
    boolean isUnconfirmedEnd() {
        boolean nothing = eventStream && !bodiless && !eventsOfAttempt;
        boolean resumedByNothing = nothing && !history.lastEventId().isEmpty();
        boolean unconfirmed = resumedByNothing && !continuedByNothing;
        continuedByNothing |= resumedByNothing;
        return unconfirmed;
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
     * Relays events and what stands between them, up to one that does not continue the stream;
     * returns the number of events.
     */
    private int relayEvents(List<StreamEvent> blocks, Runnable onEvent) {
        int events = 0;
        for (StreamEvent event : blocks) {
            if (eventStream && !order.accepts(event.id())) {
                break;
            }
            if (event.hasData()) {
                if (events == 0) {
                    onEvent.run();
                }
                events++;
            }
            relayBytes(event.bytes());
            if (!event.isComment()) {
                history.eventForwarded(event.id());
            }
        }
        return events;
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
