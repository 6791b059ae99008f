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

import io.trailladder.core.claim.ClaimKey;
import io.trailladder.core.claim.ClaimReply;
import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Failure.Kind;
import io.trailladder.core.request.Outcome;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.TargetKind;
import io.trailladder.entry.serve.ServiceRunner.Result;
import io.trailladder.wire.RequestRecord;
import java.util.List;
import java.util.Optional;

/**
 * Takes a request that may be read in this data centre to where it is served.
 *
 * @since 0.1
 */
public final class RequestDispatcher {
    /** Path below which requests are found again by their names. */
    public static final String REQUESTS_PATH = RequestRecovery.REQUESTS_PATH;

    private static final String CALLS_PATH = "/internal/calls/";
    private static final String AT_MOST_ONCE = "at-most-once";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ServingContext context;
    private final RequestRegistry registry;
    private final ClaimService claims;
    private final PeerRelay relay;
    private final Admission admission;
    private final RequestRecovery recovery;
    private final CallResults callResults;
    private volatile boolean draining;

    /**
     * Creates the dispatcher.
     *
     * @param context what serving code shares
     * @param book the requests worked on
     * @param claims obtains claims for at-most-once requests
     * @param relay passes requests on
     * @param chooser chooses between data centres
     * @param finder finds requests at peers
     */
    public RequestDispatcher(
            ServingContext context,
            RequestRegistry book,
            ClaimService claims,
            PeerRelay relay,
            DataCentreChooser chooser,
            RequestFinder finder) {
        this.context = context;
        this.registry = book;
        this.claims = claims;
        this.relay = relay;
        this.callResults = new CallResults(context.self().dataCentre());
        this.admission = new Admission(context, book, relay, chooser);
        this.recovery = new RequestRecovery(context.timer(), book, relay, finder);
    }

    /** Refuses new requests from now on. */
    public void drain() {
        draining = true;
    }

    /**
     * Tells whether new requests are refused.
     *
     * @return true after {@link #drain}
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Serves a request.
     *
     * @param request the request
     * @param sink where its answer goes
     */
    public void serve(IncomingRequest request, CallerSink sink) {
        String path = request.path();
        if (path.startsWith(REQUESTS_PATH)) {
            recovery.find(request, sink);
        } else if (request.relayed() && path.startsWith(CALLS_PATH)) {
            callResults.sendResult(path.substring(CALLS_PATH.length()), request.organisation(), sink);
        } else if (draining) {
            Answers.sendFailure(
                    sink, "", Admission.refusal(request, Kind.STOPPING, RETRY_AFTER_MILLIS));
        } else if (request.service().isPresent()) {
            serveService(request, request.service().get(), sink);
        } else if (path.equals(CompletionRequest.CHAT_PATH)) {
            serveModel(request, true, sink);
        } else if (path.equals(CompletionRequest.PLAIN_PATH)) {
            serveModel(request, false, sink);
        } else {
            Answers.refuse(sink, 404, "no such path: " + path);
        }
    }

    /**
     * Passes a request unread to another data centre.
     *
     * @param request the request
     * @param target model or service, if known
     * @param dataCentres where it may be read
     * @param sink where its answer goes
     */
    public void relay(
            IncomingRequest request,
            Optional<String> target,
            List<String> dataCentres,
            CallerSink sink) {
        admission.relay(request, target, dataCentres, sink);
    }

    private void serveModel(IncomingRequest request, boolean chat, CallerSink sink) {
        if (!request.method().equals("POST")) {
            Answers.refuse(sink, 405, "method " + request.method() + ", expected POST");
            return;
        }
        CompletionRequest.parse(request.body(), chat)
                .peekLeft(fault -> Answers.refuse(sink, 400, fault))
                .peek(completion -> serveModel(request, completion, sink));
    }

    private void serveModel(
            IncomingRequest request, CompletionRequest completion, CallerSink sink) {
        Optional<String> named = request.header(IncomingRequest.MODEL_HEADER);
        if (named.isPresent() && !named.get().equals(completion.model())) {
            Answers.refuse(
                    sink,
                    400,
                    "header "
                            + IncomingRequest.MODEL_HEADER
                            + " names another model than the body");
            return;
        }
        Optional<Row> row = admission.admit(request, completion.model(), TargetKind.MODEL, sink);
        if (row.isEmpty()) {
            return;
        }
        boolean atMostOnce = atMostOnce(request, row.get());
        Optional<String> key = request.header(IncomingRequest.KEY_HEADER);
        if (!atMostOnce || key.isEmpty()) {
            String prefix = atMostOnce ? RequestIds.AT_MOST_ONCE_PREFIX : RequestIds.REPEATABLE_PREFIX;
            String requestId =
                    key.map(k -> RequestIds.fromKey(request.organisation(), k))
                            .orElseGet(() -> RequestIds.random(prefix));
            Row effective = atMostOnce ? row.get().notRepeatable() : row.get();
            begin(request, completion, requestId, effective, sink);
            return;
        }
        String requestId = RequestIds.random(RequestIds.CLAIMED_PREFIX);
        ClaimKey claimKey = ClaimKey.of(request.organisation(), key.get());
        claims.claim(claimKey, RequestIds.fingerprint(request), requestId)
                .thenAccept(
                        reply -> {
                            if (checkGranted(reply, sink, requestId)) {
                                begin(
                                        request,
                                        completion,
                                        requestId,
                                        row.get().notRepeatable(),
                                        sink);
                            } else if (reply.verdict() == ClaimReply.Verdict.DUPLICATE) {
                                sendFirstAnswer(REQUESTS_PATH, request, reply, sink);
                            }
                        });
    }

    private void begin(
            IncomingRequest request,
            CompletionRequest completion,
            String requestId,
            Row row,
            CallerSink sink) {
        RequestRecord record =
                new RequestRecord(
                        requestId,
                        request.organisation(),
                        completion.model(),
                        completion.prompt(),
                        completion.maxTokens(),
                        completion.chat(),
                        completion.stream(),
                        System.currentTimeMillis(),
                        List.of(),
                        false);
        registry.accept(record, row, sink);
    }

    private void serveService(IncomingRequest request, String service, CallerSink sink) {
        Optional<Row> row = admission.admit(request, service, TargetKind.SERVICE, sink);
        if (row.isEmpty()) {
            return;
        }
        boolean atMostOnce = atMostOnce(request, row.get());
        Optional<String> key = request.header(IncomingRequest.KEY_HEADER);
        if (!atMostOnce || key.isEmpty()) {
            String callId = RequestIds.random("s");
            String here = context.self().dataCentre();
            new ServiceRunner(
                            context,
                            request,
                            callId,
                            row.get(),
                            !atMostOnce,
                            result -> result.send(sink, callId, here))
                    .start();
            return;
        }
        callAtMostOnce(request, row.get(), ClaimKey.of(request.organisation(), key.get()), sink);
    }

    private void callAtMostOnce(IncomingRequest request, Row row, ClaimKey key, CallerSink sink) {
        String callId = RequestIds.random("s");
        // known before the claim, because another asker may be sent here as soon as it is granted
        callResults.begin(callId, request.organisation());
        claims.claim(key, RequestIds.fingerprint(request), callId)
                .thenAccept(
                        reply -> {
                            if (checkGranted(reply, sink, callId)) {
                                callClaimed(request, row, key, callId, sink);
                                return;
                            }
                            callResults.remove(callId);
                            if (reply.verdict() == ClaimReply.Verdict.DUPLICATE) {
                                sendFirstAnswer(CALLS_PATH, request, reply, sink);
                            }
                        });
    }

    private void callClaimed(
            IncomingRequest request, Row row, ClaimKey key, String callId, CallerSink sink) {
        callResults.sendResult(callId, request.organisation(), sink);
        new ServiceRunner(
                        context,
                        request,
                        callId,
                        row,
                        false,
                        result -> {
                            releaseIfNotRun(key, callId, result);
                            callResults.end(callId, result);
                        })
                .start();
    }

    private void releaseIfNotRun(ClaimKey key, String callId, Result result) {
        boolean notRun =
                result instanceof Result.Failed failed
                        && failed.failure().outcome() == Outcome.NOT_RUN;
        if (notRun) {
            claims.release(key, callId);
        }
    }

    /** Gives the caller the final answer unless the claim was granted or names a first request. */
    private boolean checkGranted(ClaimReply reply, CallerSink sink, String requestId) {
        return switch (reply.verdict()) {
            case GRANTED -> true;
            case DUPLICATE -> false;
            case MISMATCH -> refuse(sink, requestId, Failure.notRun(Kind.CLAIM_MISMATCH, 0));
            case UNKNOWN -> {
                CallResults.unknownResult().send(sink, requestId, context.self().dataCentre());
                yield false;
            }
            case UNAVAILABLE ->
                    refuse(
                            sink,
                            requestId,
                            new Failure(
                                    Outcome.UNKNOWN, Kind.CLAIM_UNAVAILABLE, RETRY_AFTER_MILLIS));
        };
    }

    private static boolean refuse(CallerSink sink, String requestId, Failure failure) {
        Answers.sendFailure(sink, requestId, failure);
        return false;
    }

    /** Gives the caller the first answer to its key, from the entry that has it. */
    private void sendFirstAnswer(
            String pathPrefix, IncomingRequest request, ClaimReply reply, CallerSink sink) {
        IncomingRequest lookUp =
                new IncomingRequest(
                        request.organisation(),
                        "GET",
                        pathPrefix + reply.requestId(),
                        List.of(),
                        new byte[0],
                        true);
        if (reply.holder().equals(context.self().id())) {
            serve(lookUp, sink);
        } else if (!relay.forward(reply.holder(), "", lookUp, sink, false)) {
            CallResults.unknownResult().send(sink, reply.requestId(), context.self().dataCentre());
        }
    }

    private static boolean atMostOnce(IncomingRequest request, Row row) {
        boolean marked =
                request.header(IncomingRequest.RUN_HEADER)
                        .map(AT_MOST_ONCE::equalsIgnoreCase)
                        .orElse(false);
        return marked || !row.repeatable();
    }
}
