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

import io.trailladder.entry.MonotonicClock;
import io.trailladder.entry.serve.RequestMoves.AskedAgain;
import io.trailladder.entry.serve.RequestMoves.Found;
import io.trailladder.wire.PeerMessage.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Looks requests up by their IDs: for callers, and for answers whose serving entry was lost while
 * this entry relayed them.
 *
 * @since 0.1
 */
final class RequestRecovery {
    /** Path prefix under which requests are looked up by their IDs. */
    static final String REQUESTS_PATH = "/v1/requests/";

    private static final int MAX_RETRIES = 20;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final ScheduledExecutorService timer;
    private final RequestRegistry registry;
    private final PeerRelay relay;
    private final RequestFinder finder;

    RequestRecovery(
            ScheduledExecutorService timer,
            RequestRegistry registry,
            PeerRelay relay,
            RequestFinder finder) {
        this.timer = timer;
        this.registry = registry;
        this.relay = relay;
        this.finder = finder;
        relay.onLost(this::resumeAnswer);
    }

    /** A look-up of a request, at this entry and then at its peers. */
    private static final class Lookup {
        final IncomingRequest request;
        final List<String> requestIds;
        final CallerSink sink;
        final boolean answerStarted;
        final long startedMillis = MonotonicClock.millis();
        int tries;
        int retriesLeft;

        Lookup(
                IncomingRequest request,
                List<String> requestIds,
                CallerSink sink,
                boolean answerStarted,
                int retriesLeft) {
            this.request = request;
            this.requestIds = requestIds;
            this.sink = sink;
            this.answerStarted = answerStarted;
            this.retriesLeft = retriesLeft;
        }

        /** Writes to the decision log where the request was found. */
        void log(Found found, String peer) {
            RequestMoves.log(
                    new AskedAgain(
                            requestIds.get(0),
                            request.firstWantedEvent(),
                            request.relayed(),
                            found,
                            peer,
                            tries,
                            MonotonicClock.millis() - startedMillis));
        }

        /**
         * Sends the caller the rest of the answer from a runner of this entry; returns whether
         * there is one.
         */
        boolean attach(Optional<GenerationRunner> runner, Found found) {
            CallerSink rest = answerStarted ? new ResumedAnswerSink(sink) : sink;
            runner.ifPresent(
                    present -> {
                        log(found, "");
                        present.attach(rest, request.firstWantedEvent());
                    });
            return runner.isPresent();
        }

        /** Tells the caller that the request was not found; aborts an answer that has started. */
        void answerNotFound() {
            log(Found.NOWHERE, "");
            if (answerStarted) {
                sink.abort();
            } else {
                Answers.refuse(sink, 404, "no request of this name");
            }
        }
    }

    /** Sends a caller the rest of a request's answer, wherever the request is. */
    void find(IncomingRequest request, CallerSink sink) {
        String id = request.path().substring(REQUESTS_PATH.length());
        String organisation = request.organisation();
        List<String> requestIds = List.of(id, RequestIds.fromKey(organisation, id));
        Lookup lookup = new Lookup(request, requestIds, sink, false, 1);
        if (!request.relayed()) {
            search(lookup);
        } else if (!lookup.attach(findLocal(lookup), Found.HERE)
                && !lookup.attach(registry.resumeFromCopy(id, organisation), Found.TAKEN_UP)) {
            lookup.answerNotFound();
        }
    }

    private Optional<GenerationRunner> findLocal(Lookup lookup) {
        String organisation = lookup.request.organisation();
        return lookup.requestIds.stream()
                .flatMap(id -> registry.find(id, organisation).stream())
                .findFirst();
    }

    /** Searches this entry for a request, then its peers, under each of its IDs. */
    private void search(Lookup lookup) {
        lookup.tries++;
        if (!lookup.attach(findLocal(lookup), Found.HERE)) {
            queryPeers(lookup, 0);
        }
    }

    private void queryPeers(Lookup lookup, int index) {
        String requestId = lookup.requestIds.get(index);
        String organisation = lookup.request.organisation();
        finder.find(requestId, organisation)
                .thenAccept(
                        holder -> {
                            if (holder.isPresent() && attachAt(holder.get(), requestId, lookup)) {
                                return;
                            }
                            if (lookup.attach(
                                    registry.resumeFromCopy(requestId, organisation),
                                    Found.TAKEN_UP)) {
                                return;
                            }
                            if (index + 1 < lookup.requestIds.size()) {
                                queryPeers(lookup, index + 1);
                            } else if (lookup.retriesLeft-- > 0) {
                                // after the loss of its entry, it may not have been resumed yet
                                timer.schedule(
                                        () -> search(lookup),
                                        RETRY_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            } else {
                                lookup.answerNotFound();
                            }
                        });
    }

    private boolean attachAt(String peer, String requestId, Lookup lookup) {
        IncomingRequest request = lookup.request;
        IncomingRequest lookupRequest =
                new IncomingRequest(
                        request.organisation(),
                        "GET",
                        REQUESTS_PATH + requestId,
                        request.headers(),
                        new byte[0],
                        true);
        boolean sent =
                relay.forward(peer, requestId, lookupRequest, lookup.sink, lookup.answerStarted);
        if (sent) {
            lookup.log(Found.AT_PEER, peer);
        }
        return sent;
    }

    /** Continues an answer whose peer was lost, from another entry that has the request. */
    private boolean resumeAnswer(PeerRelay.LostAnswer lost) {
        if (lost.requestId().isEmpty()) {
            return false;
        }
        List<Header> headers = new ArrayList<>();
        if (lost.nextEvent() > 0) {
            String last = Integer.toString(lost.nextEvent() - 1);
            headers.add(new Header(IncomingRequest.LAST_EVENT_HEADER, last));
        }
        IncomingRequest lookupRequest =
                new IncomingRequest(
                        lost.request().organisation(),
                        "GET",
                        REQUESTS_PATH + lost.requestId(),
                        headers,
                        new byte[0],
                        false);
        search(
                new Lookup(
                        lookupRequest,
                        List.of(lost.requestId()),
                        lost.sink(),
                        lost.answerStarted(),
                        MAX_RETRIES));
        return true;
    }
}
