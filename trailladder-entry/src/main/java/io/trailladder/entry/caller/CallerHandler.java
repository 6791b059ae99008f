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
package io.trailladder.entry.caller;

import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Outcome;
import io.trailladder.core.table.HandlingPolicy;
import io.trailladder.core.table.HandlingPolicy.Handling;
import io.trailladder.core.table.Table;
import io.trailladder.entry.EntrySettings.CallerLimits;
import io.trailladder.entry.EntrySettings.Foreign;
import io.trailladder.entry.serve.Answers;
import io.trailladder.entry.serve.CallerSink;
import io.trailladder.entry.serve.DataCentreChooser;
import io.trailladder.entry.serve.IncomingRequest;
import io.trailladder.entry.serve.RequestDispatcher;
import io.trailladder.entry.serve.ServingContext;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.Header;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Takes callers' requests: finds the organisation by the key, decides whether the body may be read
 * here, reads it, and passes the request on.
 *
 * @since 0.1
 */
public final class CallerHandler extends HttpHandler {
    private static final String BEARER = "Bearer ";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ServingContext context;
    private final RequestDispatcher dispatcher;
    private final DataCentreChooser chooser;

    /**
     * Creates the handler.
     *
     * @param context what serving code shares
     * @param dispatcher serves requests
     * @param chooser finds entries in other data centres
     */
    public CallerHandler(
            ServingContext context, RequestDispatcher dispatcher, DataCentreChooser chooser) {
        this.context = context;
        this.dispatcher = dispatcher;
        this.chooser = chooser;
    }

    @Override
    public void service(Request request, Response response) {
        response.suspend();
        CallerSink sink = new GrizzlySink(response);
        Table table = context.policies().table();
        Optional<String> organisation =
                bearer(request).flatMap(key -> table.organisation(sha256(key)));
        Outcome refused = refusedOutcome(request);
        if (table.revision() == 0) {
            Failure failure = new Failure(refused, Failure.Kind.NO_TABLE, RETRY_AFTER_MILLIS);
            Answers.failure(sink, "", failure);
            return;
        }
        if (organisation.isEmpty()) {
            Answers.refuse(
                    sink,
                    401,
                    refused,
                    "header Authorization, expected 'Bearer KEY' with a known key");
            return;
        }
        String path = pathWithQuery(request);
        if (path.startsWith(RequestDispatcher.REQUESTS_PATH)) {
            dispatcher.serve(incoming(request, organisation.get(), path, new byte[0]), sink);
            return;
        }
        Optional<String> target =
                IncomingRequest.service(path)
                        .or(() -> header(request, IncomingRequest.MODEL_HEADER));
        Handling handling =
                HandlingPolicy.decide(
                        table, organisation.get(), target, context.self().dataCentre());
        if (handling instanceof Handling.NotAllowed) {
            Answers.failure(sink, "", new Failure(refused, Failure.Kind.NO_ROW, 0));
        } else if (handling instanceof Handling.NameTarget) {
            Answers.refuse(
                    sink,
                    400,
                    refused,
                    "header "
                            + IncomingRequest.MODEL_HEADER
                            + " is missing, expected the model's name: the organisation's rows"
                            + " have no data centre in common");
        } else if (handling instanceof Handling.Elsewhere elsewhere
                && context.settings().foreign() == Foreign.REDIRECT) {
            redirect(path, target, elsewhere.dataCentres(), sink);
        } else {
            read(request, organisation.get(), path, target, handling, sink);
        }
    }

    private void read(
            Request request,
            String organisation,
            String path,
            Optional<String> target,
            Handling handling,
            CallerSink sink) {
        CallerLimits limits = context.settings().limits();
        BodyReader.read(
                request,
                limits.maxBodyBytes(),
                limits.callerIdleMillis(),
                context.timer(),
                body -> {
                    IncomingRequest incoming = incoming(request, organisation, path, body);
                    if (handling instanceof Handling.Elsewhere elsewhere) {
                        dispatcher.relay(incoming, target, elsewhere.dataCentres(), sink);
                    } else {
                        dispatcher.serve(incoming, sink);
                    }
                },
                fault -> unreadable(fault, limits, sink));
    }

    private static void unreadable(BodyReader.Fault fault, CallerLimits limits, CallerSink sink) {
        switch (fault) {
            case TOO_LARGE ->
                    Answers.refuse(
                            sink,
                            413,
                            "body, expected at most " + limits.maxBodyBytes() + " bytes");
            case TOO_SLOW -> Answers.refuse(sink, 408, "the body did not come in time");
            case BROKEN -> sink.abort();
        }
    }

    private void redirect(
            String path, Optional<String> target, List<String> dataCentres, CallerSink sink) {
        Optional<EntryInfo> peer = chooser.foreign(target, dataCentres);
        if (peer.isEmpty()) {
            Answers.refuse(sink, 503, "no entry is live where the data may be handled");
            return;
        }
        Header location = new Header("Location", "http://" + peer.get().callerAddress() + path);
        Answers.whole(sink, 307, "text/plain", List.of(location), new byte[0]);
    }

    private static IncomingRequest incoming(
            Request request, String organisation, String path, byte[] body) {
        List<Header> headers = new ArrayList<>();
        for (String name : IncomingRequest.KEPT_HEADERS) {
            header(request, name).ifPresent(value -> headers.add(new Header(name, value)));
        }
        return new IncomingRequest(
                organisation, request.getMethod().getMethodString(), path, headers, body, false);
    }

    /**
     * A request with a key may have run when it was sent before, so it is never told not-run here.
     */
    private static Outcome refusedOutcome(Request request) {
        boolean keyed = header(request, IncomingRequest.KEY_HEADER).isPresent();
        return keyed ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private static Optional<String> bearer(Request request) {
        return header(request, "Authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).trim());
    }

    private static Optional<String> header(Request request, String name) {
        return Optional.ofNullable(request.getHeader(name)).filter(value -> !value.isEmpty());
    }

    private static String pathWithQuery(Request request) {
        String query = request.getQueryString();
        return query == null ? request.getRequestURI() : request.getRequestURI() + '?' + query;
    }

    /** The table holds hashes only, so looking one up compares no secret. */
    private static String sha256(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
