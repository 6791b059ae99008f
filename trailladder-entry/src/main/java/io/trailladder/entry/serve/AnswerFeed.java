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

import io.trailladder.core.request.AnswerLog;
import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Outcome;
import io.trailladder.wire.PeerMessage.Header;
import io.trailladder.wire.RequestRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends one answer to one receiver, as fast as the receiver reads it. Tokens that the receiver has
 * not read stay in the answer's log, so a slow receiver needs no buffer of its own.
 *
 * @since 0.1
 */
final class AnswerFeed {
    private final CallerSink sink;
    private final CompletionWriter writer;
    private final boolean stream;
    private final List<Header> headers;
    private int cursor;
    private boolean headSent;
    private boolean ended;

    AnswerFeed(RequestRecord request, CallerSink sink, String servedIn, int from) {
        this.sink = sink;
        this.writer = new CompletionWriter(request);
        this.stream = request.stream();
        this.cursor = from;
        this.headers =
                List.of(
                        new Header(Answers.REQUEST_HEADER, request.requestId()),
                        new Header(Answers.SERVED_HEADER, servedIn));
    }

    CallerSink sink() {
        return sink;
    }

    boolean isEnded() {
        return ended;
    }

    /** Returns the position of the last event sent to the receiver; negative if none was sent. */
    int lastEvent() {
        return headSent ? cursor - 1 : -1;
    }

    /**
     * Sends all tokens that are available; returns false if the receiver cannot take all of them
     * now.
     */
    boolean pump(AnswerLog log) {
        if (ended) {
            return true;
        }
        if (!stream) {
            sendIfComplete(log);
            return true;
        }
        sendHead();
        for (String token : log.from(cursor)) {
            if (!sink.writable()) {
                return false;
            }
            sink.body(writer.tokenEvent(cursor, token));
            cursor++;
        }
        if (log.isComplete()) {
            sink.body(writer.endEvent(log.size()));
            end();
        }
        return true;
    }

    /** Ends the receiver's answer with a failure. */
    void fail(String requestId, Failure failure) {
        if (ended) {
            return;
        }
        ended = true;
        if (!headSent) {
            Answers.sendFailure(sink, requestId, failure);
            return;
        }
        sink.body(writer.failureEvent(failure));
        sink.abort();
    }

    /**
     * Ends the receiver's answer here: a stream with an event that tells it to request the rest
     * from any entry, any other answer with a failure.
     */
    void redirect(String requestId) {
        if (ended) {
            return;
        }
        ended = true;
        if (!stream) {
            Answers.sendFailure(
                    sink, requestId, new Failure(Outcome.UNKNOWN, Failure.Kind.STOPPING, 1));
            return;
        }
        sendHead();
        sink.body(writer.movedEvent());
        sink.end();
    }

    private void sendIfComplete(AnswerLog log) {
        if (log.isComplete()) {
            ended = true;
            byte[] body = writer.completeAnswer(log.text(), log.size());
            Answers.send(sink, 200, "application/json", headers, body);
        }
    }

    private void sendHead() {
        if (!headSent) {
            headSent = true;
            List<Header> all = new ArrayList<>(headers);
            all.add(new Header("Content-Type", "text/event-stream"));
            all.add(new Header("Cache-Control", "no-store"));
            sink.head(200, all);
        }
    }

    private void end() {
        ended = true;
        sink.end();
    }
}
