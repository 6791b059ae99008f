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

import io.trailladder.entry.peer.Peers;
import io.trailladder.wire.PeerMessage.AnswerBody;
import io.trailladder.wire.PeerMessage.AnswerEnd;
import io.trailladder.wire.PeerMessage.AnswerHead;
import io.trailladder.wire.PeerMessage.Header;
import java.util.List;

/**
 * Sends an answer to the peer that passed the request on.
 *
 * @since 0.1
 */
final class PeerSink implements CallerSink {
    private final Peers links;
    private final String peer;
    private final long exchange;
    private final Runnable onEnd;
    private Runnable onCancel = () -> {};
    private int parts;
    private boolean ended;

    PeerSink(Peers links, String peer, long exchange, Runnable onEnd) {
        this.links = links;
        this.peer = peer;
        this.exchange = exchange;
        this.onEnd = onEnd;
    }

    @Override
    public synchronized void head(int status, List<Header> headers) {
        noteSent(links.send(peer, new AnswerHead(exchange, status, headers)));
    }

    @Override
    public synchronized void body(byte[] bytes) {
        if (!ended) {
            noteSent(links.send(peer, new AnswerBody(exchange, parts++, bytes)));
        }
    }

    @Override
    public synchronized void end() {
        finish(true);
    }

    @Override
    public synchronized void abort() {
        finish(false);
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
    public synchronized void whenDisconnected(Runnable action) {
        onCancel = action;
    }

    /** Is told that the caller, or the peer, is gone. */
    void cancel() {
        Runnable action;
        synchronized (this) {
            ended = true;
            action = onCancel;
        }
        action.run();
    }

    private void finish(boolean whole) {
        if (!ended) {
            ended = true;
            links.send(peer, new AnswerEnd(exchange, parts, whole));
            onEnd.run();
        }
    }

    private void noteSent(boolean sent) {
        ended |= !sent;
    }
}
