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
import io.trailladder.wire.PeerMessage.AnswerCancel;
import io.trailladder.wire.PeerMessage.Forward;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordFound;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Serves requests that peers pass on.
 *
 * @since 0.1
 */
public final class PeerServer {
    private final Peers links;
    private final RequestDispatcher dispatcher;
    private final RequestRegistry registry;
    private final Map<Key, PeerSink> openExchanges = new ConcurrentHashMap<>();

    /** Names an exchange: its peer and the peer's number for it. */
    private record Key(String peer, long exchange) {}

    /**
     * Creates the server.
     *
     * @param links reaches peers
     * @param dispatcher serves requests
     * @param book knows the requests worked on
     */
    public PeerServer(Peers links, RequestDispatcher dispatcher, RequestRegistry book) {
        this.links = links;
        this.dispatcher = dispatcher;
        this.registry = book;
    }

    /**
     * Serves a request.
     *
     * @param peer the peer that passed it on
     * @param forward the request
     */
    public void serve(String peer, Forward forward) {
        Key key = new Key(peer, forward.exchange());
        PeerSink sink = new PeerSink(links, peer, forward.exchange(), () -> openExchanges.remove(key));
        openExchanges.put(key, sink);
        IncomingRequest request =
                new IncomingRequest(
                        forward.organisation(),
                        forward.method(),
                        forward.path(),
                        forward.headers(),
                        forward.body(),
                        true);
        dispatcher.serve(request, sink);
    }

    /**
     * Is told that the caller behind an exchange is gone.
     *
     * @param peer the peer
     * @param cancel names the exchange
     */
    public void cancel(String peer, AnswerCancel cancel) {
        PeerSink sink = openExchanges.remove(new Key(peer, cancel.exchange()));
        if (sink != null) {
            sink.cancel();
        }
    }

    /**
     * Tells a peer what this entry has of a request.
     *
     * @param peer the peer
     * @param find names the request
     */
    public void answerFind(String peer, RecordFind find) {
        links.send(peer, new RecordFound(find.requestId(), registry.answerFind(peer, find)));
    }

    /**
     * Is told that a peer is lost.
     *
     * @param peer the peer's name
     */
    public void peerLost(String peer) {
        openExchanges.forEach(
                (key, sink) -> {
                    if (key.peer().equals(peer) && openExchanges.remove(key) != null) {
                        sink.cancel();
                    }
                });
    }
}
