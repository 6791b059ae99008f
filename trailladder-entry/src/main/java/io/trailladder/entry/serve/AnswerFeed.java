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
 * Brings one answer to one receiver, at the receiver's pace. What the receiver has not yet taken
 * stays in the answer's log, so a slow receiver costs no memory of its own.
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

    /** Returns the last event that the receiver was sent; below 0 if none was. */
    int lastEvent() {
        return headSent ? cursor - 1 : -1;
    }

    /** Sends what the receiver can take; returns false if it cannot take all. */
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

    /** Gives the receiver the final answer of a failed request. */
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

    /** Tells the receiver to ask any entry for the rest. */
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
