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
package io.trailladder.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.platform.http.HostPort;
import io.trailladder.platform.http.HttpCall;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.platform.http.HttpFailureException;
import io.trailladder.platform.http.HttpReply;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * A {@link KeyValueStore} that calls the key-value service over HTTP with JSON.
 *
 * @since 0.1
 */
public final class HttpKeyValueStore implements KeyValueStore {
    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int OK = 200;

    private final HttpClient client;
    private final HostPort service;

    /**
     * Creates the adapter.
     *
     * @param client sends the calls
     * @param service address of the service
     */
    public HttpKeyValueStore(HttpClient client, HostPort service) {
        this.client = client;
        this.service = service;
    }

    @Override
    public CompletableFuture<Optional<Item>> get(String key) {
        return call("GET", "/kv/" + key, "", IDLE_TIMEOUT_MILLIS, false)
                .thenApply(
                        reply ->
                                reply.status() == NOT_FOUND
                                        ? Optional.empty()
                                        : Optional.of(item(key, json(reply))));
    }

    @Override
    public CompletableFuture<Optional<Long>> put(String key, String value, long expectedVersion) {
        String path = "/kv/" + key + "?version=" + expectedVersion;
        return call("PUT", path, value, IDLE_TIMEOUT_MILLIS, true)
                .thenApply(
                        reply ->
                                reply.status() == CONFLICT
                                        ? Optional.empty()
                                        : Optional.of(json(reply).path("version").asLong()));
    }

    @Override
    public CompletableFuture<Void> putLeased(String key, String value, String lease) {
        String path = "/kv/" + key + "?version=-1&lease=" + lease;
        return call("PUT", path, value, IDLE_TIMEOUT_MILLIS, true).thenApply(reply -> null);
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return call("DELETE", "/kv/" + key, "", IDLE_TIMEOUT_MILLIS, true).thenApply(reply -> null);
    }

    @Override
    public CompletableFuture<Void> renew(String lease, long ttlMillis) {
        String path = "/lease/" + lease + "?ttl=" + ttlMillis;
        return call("POST", path, "", IDLE_TIMEOUT_MILLIS, true).thenApply(reply -> null);
    }

    @Override
    public CompletableFuture<Batch> list(String prefix) {
        return call("GET", "/list/" + prefix, "", IDLE_TIMEOUT_MILLIS, false)
                .thenApply(reply -> batch(json(reply)));
    }

    @Override
    public CompletableFuture<Batch> watch(String prefix, long afterRevision, long timeoutMillis) {
        String path =
                "/watch?prefix="
                        + URLEncoder.encode(prefix, StandardCharsets.UTF_8)
                        + "&after="
                        + afterRevision
                        + "&timeout="
                        + timeoutMillis;
        return call("GET", path, "", timeoutMillis + IDLE_TIMEOUT_MILLIS, false)
                .thenApply(reply -> batch(json(reply)));
    }

    private CompletableFuture<HttpReply> call(
            String method, String path, String body, long idleTimeoutMillis, boolean writes) {
        HttpCall call =
                new HttpCall(
                        service,
                        method,
                        path,
                        Map.of(),
                        body.getBytes(StandardCharsets.UTF_8),
                        idleTimeoutMillis);
        String name = method + " " + path;
        return client.call(call)
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                throw failed(name, writes, failure);
                            }
                            return checked(name, reply);
                        });
    }

    private static PlatformException failed(String call, boolean writes, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean sent = !(cause instanceof HttpFailureException http) || http.sent();
        return new PlatformException(call, writes && sent, cause);
    }

    private static HttpReply checked(String call, HttpReply reply) {
        int status = reply.status();
        if (status != OK && status != NOT_FOUND && status != CONFLICT) {
            throw new PlatformException(call, "status " + status);
        }
        return reply;
    }

    private static JsonNode json(HttpReply reply) {
        try {
            return JSON.readTree(reply.body());
        } catch (IOException e) {
            throw new PlatformException(
                    "a call of the key-value service", reply.status() + " without JSON");
        }
    }

    private static Item item(String key, JsonNode node) {
        String value = node.path("value").isTextual() ? node.path("value").asText() : null;
        return new Item(key, value, node.path("version").asLong());
    }

    private static Batch batch(JsonNode node) {
        List<Item> items = new ArrayList<>();
        node.path("entries").forEach(entry -> items.add(item(entry.path("key").asText(), entry)));
        return new Batch(items, node.path("revision").asLong());
    }

    /**
     * Writes a value as JSON.
     *
     * @param value a record
     * @return JSON text
     */
    static String toJson(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Reads a value from JSON.
     *
     * @param text JSON text
     * @param type the record's class
     * @return the record
     */
    static <T> T fromJson(String text, Class<T> type) {
        try {
            return JSON.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new PlatformException(
                    "a read of " + type.getSimpleName(), e.getOriginalMessage());
        }
    }
}
