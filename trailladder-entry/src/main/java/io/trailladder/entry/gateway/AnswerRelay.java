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

import io.trailladder.core.memory.ReservationKind;
import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.entry.gateway.EventSplitter.StreamEvent;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import java.io.ByteArrayOutputStream;
import java.util.List;

/**
 * Passes an upstream's answer on to the caller: a stream event by event as they come, anything else
 * once it is whole, unless it is too large to be held.
 */
final class AnswerRelay {
    private static final int MAX_SUCCESS_STATUS = 299;

    private final MemoryManager memory;
    private final MemoryAccount.Reservation reservation;
    private final ServerExchange exchange;
    private final AttemptHistory history;
    private final boolean stream;
    private final Runnable onFirstByte;
    private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private EventSplitter splitter = new EventSplitter();
    private HeaderList headers = HeaderList.EMPTY;
    private int status;
    private boolean relaying;

    /**
     * Creates the passing of a request's answer.
     *
     * @param memory bounds what is held back
     * @param exchange the caller's request
     * @param history told of what was passed on
     * @param stream true if the answer is a series of events
     * @param onFirstByte runs before the first byte is sent
     */
    AnswerRelay(
            MemoryManager memory,
            ServerExchange exchange,
            AttemptHistory history,
            boolean stream,
            Runnable onFirstByte) {
        this.memory = memory;
        this.reservation = memory.account().open(ReservationKind.ANSWERS_PARSED);
        this.exchange = exchange;
        this.history = history;
        this.stream = stream;
        this.onFirstByte = onFirstByte;
    }

    /** Forgets what an attempt that failed left unfinished. */
    void newAttempt() {
        splitter = new EventSplitter();
    }

    void head(int answered, HeaderList fields) {
        status = answered;
        headers = fields;
        buffered.reset();
        relaying = stream && answered <= MAX_SUCCESS_STATUS;
    }

    /** Takes a part of the body; returns how many events of the stream are whole with it. */
    int body(byte[] bytes) {
        if (relaying && stream) {
            int events = relayEvents(splitter.append(bytes));
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

    /** Ends the answer, which the upstream ended as whole. */
    void end() {
        if (relaying) {
            relayBytes(splitter.remainder());
            begin();
            exchange.end();
        } else if (history.hasAnswerStarted()) {
            exchange.abort();
        } else {
            respondBuffered();
        }
    }

    /** Sends what was held back as the whole answer. */
    void respondBuffered() {
        onFirstByte.run();
        exchange.respond(status, headers.endToEnd(), buffered.toByteArray());
    }

    int status() {
        return status;
    }

    /** Gives back what was held back; nothing more is passed on. */
    void close() {
        reservation.close();
    }

    /** An event that never ends would be held without end, so one above the bound ends it all. */
    private void reservePending(int bytes) {
        reservation.set(bytes);
        if (bytes > memory.account().budget().answerBytes()) {
            memory.cut(exchange, MemoryManager.CutReason.EVENT_TOO_LARGE);
        }
    }

    private int relayEvents(List<StreamEvent> events) {
        for (StreamEvent event : events) {
            relayBytes(event.bytes());
            if (!event.id().isEmpty()) {
                history.eventForwarded(event.id());
            }
        }
        return events.size();
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
