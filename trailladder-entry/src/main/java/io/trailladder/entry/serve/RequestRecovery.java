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
 * Finds requests again by their names: for callers that ask, and for answers whose serving entry
 * was lost while this entry passed them on.
 *
 * @since 0.1
 */
final class RequestRecovery {
    /** Path below which requests are found again by their names. */
    static final String REQUESTS_PATH = "/v1/requests/";

    private static final int MAX_RETRIES = 20;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final ScheduledExecutorService timer;
    private final RequestRegistry registry;
    private final PeerRelay relay;
    private final RequestFinder finder;

    RequestRecovery(
            ScheduledExecutorService timer,
            RequestRegistry book,
            PeerRelay relay,
            RequestFinder finder) {
        this.timer = timer;
        this.registry = book;
        this.relay = relay;
        this.finder = finder;
        relay.onLost(this::resumeAnswer);
    }

    /** A question for a request that is asked of this entry and then of its peers. */
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
                List<String> names,
                CallerSink sink,
                boolean begun,
                int triesLeft) {
            this.request = request;
            this.requestIds = names;
            this.sink = sink;
            this.answerStarted = begun;
            this.retriesLeft = triesLeft;
        }

        /** Writes a line that tells where the request was found. */
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

        /** Brings the caller the rest from a runner of this entry, if there is one. */
        boolean attach(Optional<GenerationRunner> runner, Found found) {
            CallerSink rest = answerStarted ? new ResumedAnswerSink(sink) : sink;
            runner.ifPresent(
                    present -> {
                        log(found, "");
                        present.attach(rest, request.firstWantedEvent());
                    });
            return runner.isPresent();
        }

        /** Tells the caller that the request was not found. */
        void answerNotFound() {
            log(Found.NOWHERE, "");
            if (answerStarted) {
                sink.abort();
            } else {
                Answers.refuse(sink, 404, "no request of this name");
            }
        }
    }

    /** Brings a caller the rest of a request's answer, wherever the request is. */
    void find(IncomingRequest request, CallerSink sink) {
        String name = request.path().substring(REQUESTS_PATH.length());
        String organisation = request.organisation();
        List<String> names = List.of(name, RequestIds.fromKey(organisation, name));
        Lookup question = new Lookup(request, names, sink, false, 1);
        if (!request.relayed()) {
            search(question);
        } else if (!question.attach(findLocal(question), Found.HERE)
                && !question.attach(registry.resumeFromCopy(name, organisation), Found.TAKEN_UP)) {
            question.answerNotFound();
        }
    }

    private Optional<GenerationRunner> findLocal(Lookup question) {
        String organisation = question.request.organisation();
        return question.requestIds.stream()
                .flatMap(name -> registry.find(name, organisation).stream())
                .findFirst();
    }

    /** Looks for a request in this entry, then at its peers, under each of its names. */
    private void search(Lookup question) {
        question.tries++;
        if (!question.attach(findLocal(question), Found.HERE)) {
            queryPeers(question, 0);
        }
    }

    private void queryPeers(Lookup question, int nameIndex) {
        String name = question.requestIds.get(nameIndex);
        String organisation = question.request.organisation();
        finder.find(name, organisation)
                .thenAccept(
                        holder -> {
                            if (holder.isPresent() && attachAt(holder.get(), name, question)) {
                                return;
                            }
                            if (question.attach(registry.resumeFromCopy(name, organisation), Found.TAKEN_UP)) {
                                return;
                            }
                            if (nameIndex + 1 < question.requestIds.size()) {
                                queryPeers(question, nameIndex + 1);
                            } else if (question.retriesLeft-- > 0) {
                                // it may be passing from a lost entry to its copy's keeper
                                timer.schedule(
                                        () -> search(question),
                                        RETRY_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            } else {
                                question.answerNotFound();
                            }
                        });
    }

    private boolean attachAt(String peer, String name, Lookup question) {
        IncomingRequest request = question.request;
        IncomingRequest lookUp =
                new IncomingRequest(
                        request.organisation(),
                        "GET",
                        REQUESTS_PATH + name,
                        request.headers(),
                        new byte[0],
                        true);
        boolean sent = relay.forward(peer, name, lookUp, question.sink, question.answerStarted);
        if (sent) {
            question.log(Found.AT_PEER, peer);
        }
        return sent;
    }

    /** Goes on with an answer whose peer was lost, at another entry that has the request. */
    private boolean resumeAnswer(PeerRelay.LostAnswer lost) {
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
        search(new Lookup(again, List.of(lost.requestId()), lost.sink(), lost.answerStarted(), MAX_RETRIES));
        return true;
    }
}
