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
import io.trailladder.entry.EntrySettings.Foreign;
import io.trailladder.entry.http.RequestHandler;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.EventLoop;
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

/**
 * Handles requests of callers: looks up the organisation by its key, decides whether the body may
 * be read in this data centre, and passes the request to the dispatcher.
 *
 * @since 0.1
 */
public final class CallerHandler implements RequestHandler {
    private static final String BEARER = "Bearer ";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final byte[] NO_BYTES = {};

    private final EventLoop loop;
    private final ServingContext context;
    private final RequestDispatcher dispatcher;
    private final DataCentreChooser chooser;

    /**
     * Creates the handler.
     *
     * @param loop the loop whose thread reads and writes the connections of callers
     * @param context the shared serving context
     * @param dispatcher serves the requests
     * @param chooser finds entries in other data centres
     */
    public CallerHandler(
            EventLoop loop,
            ServingContext context,
            RequestDispatcher dispatcher,
            DataCentreChooser chooser) {
        this.loop = loop;
        this.context = context;
        this.dispatcher = dispatcher;
        this.chooser = chooser;
    }

    @Override
    public void handle(ServerExchange exchange) {
        serve(exchange, sink(exchange), true);
    }

    @Override
    public boolean answersWithoutBody(ServerExchange exchange) {
        return serve(exchange, sink(exchange), false);
    }

    @Override
    public void refuse(ServerExchange exchange, int status) {
        int maxBytes = context.settings().limits().maxBodyBytes();
        String message =
                switch (status) {
                    case TOO_LARGE -> "body, expected at most " + maxBytes + " bytes";
                    case REQUEST_TIMEOUT -> "the body did not come in time";
                    default -> "head, expected one Host and one length or chunks";
                };
        Answers.refuse(sink(exchange), status, message);
    }

    private CallerSink sink(ServerExchange exchange) {
        return new ExchangeSink(loop, exchange);
    }

    /**
     * Serves a request whose body was read, or answers one whose body must not be read here.
     *
     * @return false if the body must be read first
     */
    private boolean serve(ServerExchange request, CallerSink sink, boolean bodyRead) {
        Table table = context.policies().table();
        Optional<String> organisation =
                bearer(request).flatMap(key -> table.organisation(sha256(key)));
        Outcome refused = refusedOutcome(request);
        if (table.revision() == 0) {
            Failure failure = new Failure(refused, Failure.Kind.NO_TABLE, RETRY_AFTER_MILLIS);
            Answers.sendFailure(sink, "", failure);
            return true;
        }
        if (organisation.isEmpty()) {
            Answers.refuse(
                    sink,
                    401,
                    refused,
                    "header Authorization, expected 'Bearer KEY' with a known key");
            return true;
        }
        String path = request.uri();
        if (path.startsWith(RequestDispatcher.REQUESTS_PATH)) {
            if (bodyRead) {
                dispatcher.serve(incoming(request, organisation.get(), NO_BYTES), sink);
            }
            return bodyRead;
        }
        return serveTarget(request, organisation.get(), refused, sink, bodyRead);
    }

    private boolean serveTarget(
            ServerExchange request,
            String organisation,
            Outcome refused,
            CallerSink sink,
            boolean bodyRead) {
        String path = request.uri();
        Optional<String> target =
                IncomingRequest.service(path)
                        .or(() -> header(request, IncomingRequest.MODEL_HEADER));
        Handling handling =
                HandlingPolicy.decide(
                        context.policies().table(),
                        organisation,
                        target,
                        context.self().dataCentre());
        if (handling instanceof Handling.NotAllowed) {
            Answers.sendFailure(sink, "", new Failure(refused, Failure.Kind.NO_ROW, 0));
        } else if (handling instanceof Handling.TargetRequired) {
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
        } else if (!bodyRead) {
            return false;
        } else if (handling instanceof Handling.Elsewhere elsewhere) {
            IncomingRequest incoming = incoming(request, organisation, request.body());
            dispatcher.relay(incoming, target, elsewhere.dataCentres(), sink);
        } else {
            dispatcher.serve(incoming(request, organisation, request.body()), sink);
        }
        return true;
    }

    private void redirect(
            String path, Optional<String> target, List<String> dataCentres, CallerSink sink) {
        Optional<EntryInfo> peer = chooser.entryIn(target, dataCentres);
        if (peer.isEmpty()) {
            Answers.refuse(sink, 503, "no entry is live where the data may be handled");
            return;
        }
        Header location = new Header("Location", "http://" + peer.get().callerAddress() + path);
        Answers.send(sink, 307, "text/plain", List.of(location), NO_BYTES);
    }

    private static IncomingRequest incoming(
            ServerExchange request, String organisation, byte[] body) {
        List<Header> headers = new ArrayList<>();
        for (String name : IncomingRequest.KEPT_HEADERS) {
            header(request, name).ifPresent(value -> headers.add(new Header(name, value)));
        }
        return new IncomingRequest(
                organisation, request.method(), request.uri(), headers, body, false);
    }

    /**
     * Returns the outcome of a refused request. One with an idempotency key may have run when it
     * was sent before, so {@code NOT_RUN} would be wrong for it.
     */
    private static Outcome refusedOutcome(ServerExchange request) {
        boolean keyed = header(request, IncomingRequest.KEY_HEADER).isPresent();
        return keyed ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private static Optional<String> bearer(ServerExchange request) {
        return header(request, "Authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).trim());
    }

    private static Optional<String> header(ServerExchange request, String name) {
        return request.headers().first(name).filter(value -> !value.isEmpty());
    }

    /** Hashes a key. The table has only hashes, so a lookup compares no secrets. */
    private static String sha256(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
