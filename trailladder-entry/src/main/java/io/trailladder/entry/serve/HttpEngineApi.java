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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.routing.LoadReport;
import io.trailladder.platform.PlatformException;
import io.trailladder.platform.http.HostPort;
import io.trailladder.platform.http.HttpCall;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.platform.http.HttpExchange;
import io.trailladder.platform.http.HttpFailureException;
import io.trailladder.platform.http.HttpFailureException.Kind;
import io.trailladder.platform.http.HttpListener;
import io.trailladder.platform.http.HttpReply;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Reaches engines over HTTP; answers come as server-sent events.
 *
 * <p>Attempts are numbered from a base of each entry's own on the wire, so that a late cancel of
 * one entry never stops the attempt of another that goes on with the same request.
 *
 * @since 0.1
 */
public final class HttpEngineApi implements EngineApi {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long CONTROL_TIMEOUT_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int ATTEMPT_BASES = 1 << 20;
    private static final int ATTEMPTS_PER_BASE = 1_000;

    private final HttpClient client;
    private final long idleTimeoutMillis;
    private final int attemptBase = new SecureRandom().nextInt(ATTEMPT_BASES) * ATTEMPTS_PER_BASE;

    /**
     * Creates the adapter.
     *
     * @param client makes the calls
     * @param idleMillis longest silence of an engine, in milliseconds
     */
    public HttpEngineApi(HttpClient client, long idleMillis) {
        this.client = client;
        this.idleTimeoutMillis = idleMillis;
    }

    @Override
    public RunningAttempt generate(LocalUpstream engine, Attempt attempt, Listener listener) {
        HostPort address = HostPort.parse(engine.address());
        ObjectNode body = attemptBody(attempt.requestId(), attempt.attempt());
        body.put("organisation", attempt.organisation())
                .put("model", attempt.model())
                .put("prompt", attempt.prompt())
                .put("max_tokens", attempt.maxTokens())
                .put("kv", attempt.kvHandle())
                .put("priority", attempt.priority());
        ArrayNode resume = body.putArray("resume");
        attempt.resume().forEach(resume::add);
        HttpCall call = HttpCall.post(address, "/v1/generate", body.toString(), idleTimeoutMillis);
        HttpExchange exchange = client.send(call, new AnswerParser(listener, attemptBase));
        return () -> {
            exchange.cancel();
            String name = attemptBody(attempt.requestId(), attempt.attempt()).toString();
            client.call(HttpCall.post(address, "/v1/cancel", name, CONTROL_TIMEOUT_MILLIS));
        };
    }

    @Override
    public CompletableFuture<String> export(
            LocalUpstream engine, String requestId, int attempt, long timeoutMillis) {
        String body = attemptBody(requestId, attempt).toString();
        HostPort address = HostPort.parse(engine.address());
        return client.call(HttpCall.post(address, "/v1/export", body, timeoutMillis))
                .thenApply(reply -> json(reply).path("handle").asText());
    }

    @Override
    public CompletableFuture<LoadReport> load(LocalUpstream engine) {
        HostPort address = HostPort.parse(engine.address());
        return client.call(HttpCall.get(address, "/v1/load", CONTROL_TIMEOUT_MILLIS))
                .thenApply(reply -> report(json(reply)));
    }

    private static LoadReport report(JsonNode node) {
        return new LoadReport(
                node.path("running").asInt(),
                Math.max(1, node.path("slots").asInt(1)),
                node.path("waiting").asInt(),
                node.path("queuedPromptTokens").asInt(),
                Math.max(1, node.path("prefillTokensPerSecond").asInt(1)),
                Math.max(1, node.path("tokenMillis").asInt(1)));
    }

    private ObjectNode attemptBody(String requestId, int attempt) {
        return JSON.createObjectNode()
                .put("request", requestId)
                .put("attempt", attemptBase + attempt);
    }

    private static JsonNode json(HttpReply reply) {
        try {
            if (reply.status() == OK) {
                return JSON.readTree(reply.body());
            }
        } catch (IOException e) {
            // reported below like an unexpected status
        }
        throw new PlatformException("an engine call", "status " + reply.status());
    }

    /** Turns the bytes of an answer into tokens. */
    private static final class AnswerParser implements HttpListener {
        private final Listener listener;
        private final int attemptBase;
        private final SseLines lines = new SseLines();
        private boolean refused;
        private boolean ended;

        AnswerParser(Listener listener, int attemptBase) {
            this.listener = listener;
            this.attemptBase = attemptBase;
        }

        @Override
        public void head(int status, String contentType) {
            refused = status != OK;
        }

        @Override
        public void body(byte[] bytes) {
            if (refused || ended) {
                return;
            }
            try {
                lines.add(bytes, this::event);
            } catch (IOException e) {
                ended = true;
                listener.failed(true, true);
            }
        }

        @Override
        public void ended() {
            if (!ended) {
                ended = true;
                listener.failed(true, false);
            }
        }

        @Override
        public void failed(HttpFailureException failure) {
            if (!ended) {
                ended = true;
                listener.failed(failure.sent(), failure.kind() == Kind.MALFORMED);
            }
        }

        private void event(String data) throws IOException {
            JsonNode node = JSON.readTree(data);
            String requestId = node.path("r").asText();
            int attempt = node.path("a").asInt(-1) - attemptBase;
            if (node.path("t").isTextual() && node.path("p").isInt()) {
                int position = node.path("p").asInt();
                listener.token(requestId, attempt, position, node.path("t").asText());
            } else if (node.path("end").isInt()) {
                ended = true;
                listener.ended(requestId, attempt, node.path("end").asInt());
            } else {
                throw new IOException("an event that is neither token nor end");
            }
        }
    }
}
