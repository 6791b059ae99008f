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

import io.trailladder.wire.PeerMessage.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Finds requests again by their names: for callers that ask, and for answers whose serving entry
 * was lost while this entry passed them on.
 *
 * @since 0.1
 */
final class RequestRecovery {
    /** Path below which requests are found again by their names. */
    static final String REQUESTS_PATH = "/v1/requests/";

    private static final int TRIES = 20;
    private static final long TRY_AGAIN_MILLIS = 200;

    private final ScheduledExecutorService timer;
    private final RequestBook book;
    private final PeerRelay relay;
    private final RequestFinder finder;

    RequestRecovery(
            ScheduledExecutorService timer,
            RequestBook book,
            PeerRelay relay,
            RequestFinder finder) {
        this.timer = timer;
        this.book = book;
        this.relay = relay;
        this.finder = finder;
        relay.onLost(this::goOn);
    }

    /** Brings a caller the rest of a request's answer, wherever the request is. */
    void findAgain(IncomingRequest request, CallerSink sink) {
        String name = request.path().substring(REQUESTS_PATH.length());
        int from = request.firstWantedEvent();
        String organisation = request.organisation();
        Optional<GenerationRunner> mine =
                book.find(name, organisation)
                        .or(() -> book.find(RequestNames.keyed(organisation, name), organisation));
        if (mine.isPresent()) {
            mine.get().attach(sink, from);
            return;
        }
        if (request.relayed()) {
            book.adopt(name, organisation)
                    .ifPresentOrElse(
                            runner -> runner.attach(sink, from),
                            () -> Answers.refuse(sink, 404, "no request of this name"));
            return;
        }
        findAtPeers(request, List.of(name, RequestNames.keyed(organisation, name)), sink, false, 1);
    }

    private void findAtPeers(
            IncomingRequest request,
            List<String> names,
            CallerSink sink,
            boolean begun,
            int triesLeft) {
        String name = names.get(0);
        if (attachHere(book.find(name, request.organisation()), request, sink, begun)) {
            return;
        }
        finder.find(name, request.organisation())
                .thenAccept(
                        holder -> {
                            if (holder.isPresent()
                                    && attachAt(holder.get(), name, request, sink, begun)) {
                                return;
                            }
                            Optional<GenerationRunner> adopted =
                                    book.adopt(name, request.organisation());
                            if (attachHere(adopted, request, sink, begun)) {
                                return;
                            }
                            if (names.size() > 1) {
                                findAtPeers(
                                        request,
                                        names.subList(1, names.size()),
                                        sink,
                                        begun,
                                        triesLeft);
                            } else if (triesLeft > 0) {
                                tryLater(request, names, sink, begun, triesLeft - 1);
                            } else if (begun) {
                                sink.abort();
                            } else {
                                Answers.refuse(sink, 404, "no request of this name");
                            }
                        });
    }

    /** Brings the caller the rest from a runner of this entry, if there is one. */
    private static boolean attachHere(
            Optional<GenerationRunner> runner,
            IncomingRequest request,
            CallerSink sink,
            boolean begun) {
        CallerSink rest = begun ? new BegunSink(sink) : sink;
        runner.ifPresent(found -> found.attach(rest, request.firstWantedEvent()));
        return runner.isPresent();
    }

    /**
     * A request that is just passing from a lost entry to its copy's keeper is found a little
     * later.
     */
    private void tryLater(
            IncomingRequest request,
            List<String> names,
            CallerSink sink,
            boolean begun,
            int triesLeft) {
        timer.schedule(
                () -> findAtPeers(request, names, sink, begun, triesLeft),
                TRY_AGAIN_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private boolean attachAt(
            String peer, String name, IncomingRequest request, CallerSink sink, boolean begun) {
        IncomingRequest lookUp =
                new IncomingRequest(
                        request.organisation(),
                        "GET",
                        REQUESTS_PATH + name,
                        request.headers(),
                        new byte[0],
                        true);
        return relay.forward(peer, name, lookUp, sink, begun);
    }

    /** Goes on with an answer whose peer was lost, at another entry that has the request. */
    private boolean goOn(PeerRelay.Lost lost) {
        if (lost.requestId().isEmpty()) {
            return false;
        }
        List<Header> headers = new ArrayList<>();
        if (lost.nextEvent() > 0) {
            String last = Integer.toString(lost.nextEvent() - 1);
            headers.add(new Header(IncomingRequest.LAST_EVENT_HEADER, last));
        }
        IncomingRequest again =
                new IncomingRequest(
                        lost.request().organisation(),
                        "GET",
                        REQUESTS_PATH + lost.requestId(),
                        headers,
                        new byte[0],
                        false);
        findAtPeers(again, List.of(lost.requestId()), lost.sink(), lost.begun(), TRIES);
        return true;
    }
}
