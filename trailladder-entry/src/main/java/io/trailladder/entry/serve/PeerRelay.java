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

import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Outcome;
import io.trailladder.entry.peer.Peers;
import io.trailladder.wire.PeerMessage.AnswerBody;
import io.trailladder.wire.PeerMessage.AnswerCancel;
import io.trailladder.wire.PeerMessage.AnswerEnd;
import io.trailladder.wire.PeerMessage.AnswerHead;
import io.trailladder.wire.PeerMessage.Forward;
import io.trailladder.wire.PeerMessage.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * Passes requests on to peers and their answers back, without reading either.
 *
 * <p>An answer of a model request whose peer is lost is asked for again at another entry, from the
 * part after the last one that came.
 *
 * @since 0.1
 */
public final class PeerRelay {
    private static final long RETRY_AFTER_MILLIS = 2_000;
    private static final int OK = 200;

    private final Peers links;
    private final AtomicLong lastExchange = new AtomicLong();
    private final Map<Long, Exchange> openExchanges = new ConcurrentHashMap<>();
    private Function<LostAnswer, Boolean> onLost = lost -> false;

    /**
     * An answer whose peer was lost.
     *
     * @param request the request
     * @param requestId its name at the lost peer; empty if no part of the answer came
     * @param sink where its answer goes
     * @param nextEvent the first event of a stream that did not come
     * @param begun true if the sink already has a part of the answer
     */
    public record LostAnswer(
            IncomingRequest request,
            String requestId,
            CallerSink sink,
            int nextEvent,
            boolean answerStarted) {}

    /** A request at a peer. */
    private static final class Exchange {
        final String peer;
        final IncomingRequest request;
        final CallerSink sink;
        String requestId = "";
        boolean answerStarted;
        int parts;

        Exchange(String peer, IncomingRequest request, CallerSink sink, boolean begun) {
            this.peer = peer;
            this.request = request;
            this.sink = sink;
            this.answerStarted = begun;
        }
    }

    /**
     * Creates the relay.
     *
     * @param links reaches peers
     */
    public PeerRelay(Peers links) {
        this.links = links;
    }

    /**
     * Sets who is asked to go on with answers whose peer was lost.
     *
     * @param handler returns false if it cannot
     */
    public void onLost(Function<LostAnswer, Boolean> handler) {
        onLost = handler;
    }

    /**
     * Passes a request on.
     *
     * @param peer the peer's name
     * @param requestId the request's name
     * @param request the request
     * @param sink where its answer goes
     * @param begun true if the sink already has a part of the answer
     * @return false if no link to the peer is up; the peer has then not seen the request
     */
    public boolean forward(
            String peer,
            String requestId,
            IncomingRequest request,
            CallerSink sink,
            boolean begun) {
        long number = lastExchange.incrementAndGet();
        Exchange exchange = new Exchange(peer, request, sink, begun);
        exchange.requestId = requestId;
        openExchanges.put(number, exchange);
        Forward forward =
                new Forward(
                        number,
                        requestId,
                        request.organisation(),
                        request.method(),
                        request.path(),
                        request.headers(),
                        request.body());
        if (!links.send(peer, forward)) {
            openExchanges.remove(number);
            return false;
        }
        sink.whenDisconnected(
                () -> {
                    if (openExchanges.remove(number) != null) {
                        links.send(peer, new AnswerCancel(number));
                    }
                });
        return true;
    }

    /**
     * Takes the beginning of an answer.
     *
     * @param head the beginning
     */
    public void head(AnswerHead head) {
        Exchange exchange = openExchanges.get(head.exchange());
        if (exchange == null) {
            return;
        }
        synchronized (exchange) {
            if (exchange.answerStarted && head.status() != OK) {
                // an answer that has begun cannot end with a peer's refusal
                openExchanges.remove(head.exchange());
                peerLost(exchange);
                return;
            }
            requestId(head.headers()).ifPresent(id -> exchange.requestId = id);
            if (!exchange.answerStarted) {
                exchange.answerStarted = true;
                exchange.sink.head(head.status(), head.headers());
            }
        }
    }

    /**
     * Takes a part of an answer.
     *
     * @param body the part
     */
    public void body(AnswerBody body) {
        Exchange exchange = openExchanges.get(body.exchange());
        if (exchange == null) {
            return;
        }
        synchronized (exchange) {
            if (body.sequence() != exchange.parts) {
                abort(body.exchange(), exchange);
                return;
            }
            exchange.parts++;
            exchange.sink.body(body.bytes());
        }
    }

    /**
     * Takes the end of an answer.
     *
     * @param end the end
     */
    public void end(AnswerEnd end) {
        Exchange exchange = openExchanges.get(end.exchange());
        if (exchange == null) {
            return;
        }
        synchronized (exchange) {
            if (!end.whole() || end.parts() != exchange.parts) {
                abort(end.exchange(), exchange);
                return;
            }
            openExchanges.remove(end.exchange());
            exchange.sink.end();
        }
    }

    /**
     * Is told that a peer is lost.
     *
     * @param peer the peer's name
     */
    public void peerLost(String peer) {
        List<Long> numbers = new ArrayList<>();
        openExchanges.forEach(
                (number, exchange) -> {
                    if (exchange.peer.equals(peer)) {
                        numbers.add(number);
                    }
                });
        for (Long number : numbers) {
            Exchange exchange = openExchanges.remove(number);
            if (exchange != null) {
                peerLost(exchange);
            }
        }
    }

    /**
     * Returns how many requests are at peers.
     *
     * @return a count
     */
    public int openCount() {
        return openExchanges.size();
    }

    private void peerLost(Exchange exchange) {
        synchronized (exchange) {
            int nextEvent = exchange.request.firstWantedEvent() + exchange.parts;
            LostAnswer lost =
                    new LostAnswer(
                            exchange.request,
                            exchange.requestId,
                            exchange.sink,
                            nextEvent,
                            exchange.answerStarted);
            if (onLost.apply(lost)) {
                return;
            }
            if (exchange.answerStarted) {
                exchange.sink.abort();
                return;
            }
            Failure failure =
                    new Failure(Outcome.UNKNOWN, Failure.Kind.UPSTREAM_BROKEN, RETRY_AFTER_MILLIS);
            Answers.sendFailure(exchange.sink, "", failure);
        }
    }

    private void abort(long number, Exchange exchange) {
        openExchanges.remove(number);
        exchange.sink.abort();
    }

    private static Optional<String> requestId(List<Header> headers) {
        return headers.stream()
                .filter(header -> header.name().equals(Answers.REQUEST_HEADER))
                .map(Header::value)
                .findFirst();
    }
}
