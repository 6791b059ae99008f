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
package io.trailladder.entry.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.trailladder.core.crash.CrashReport;
import io.trailladder.core.crash.CrashVerdict;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

/**
 * Serves the operator's HTTP endpoints for requests that end upstreams: {@code GET
 * /refused-requests} lists the refused ones, and {@code DELETE /refused-requests/FINGERPRINT} has
 * one of them served again by all processes.
 */
final class CrashPages {
    private static final String PATH = "/refused-requests";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final JsonFactory JSON = new JsonFactory();

    private final CrashWatch crashes;
    private final LongSupplier nowMillis;

    CrashPages(CrashWatch crashes, LongSupplier nowMillis) {
        this.crashes = crashes;
        this.nowMillis = nowMillis;
    }

    /** Handles a request for one of these endpoints; returns false for any other request. */
    boolean handle(ServerExchange exchange) {
        String path = exchange.path();
        if (path.equals(PATH) && exchange.method().equals("GET")) {
            HeaderList type = HeaderList.of("Content-Type", "application/json");
            exchange.respond(OK, type, list());
            return true;
        }
        if (path.startsWith(PATH + "/") && exchange.method().equals("DELETE")) {
            lift(exchange, path.substring(PATH.length() + 1));
            return true;
        }
        return false;
    }

    private void lift(ServerExchange exchange, String name) {
        try {
            RequestTrait request = RequestTrait.parse(name);
            boolean lifted = crashes.lift(request);
            text(exchange, lifted ? OK : NOT_FOUND, lifted ? "lifted" : "no such request");
        } catch (NumberFormatException e) {
            text(
                    exchange,
                    BAD_REQUEST,
                    "'" + name + "', expected 16 hex digits, for a part with '-' and its position");
        }
    }

    private static void text(ServerExchange exchange, int status, String text) {
        HeaderList type = HeaderList.of("Content-Type", "text/plain; charset=utf-8");
        exchange.respond(status, type, (text + '\n').getBytes(StandardCharsets.UTF_8));
    }

    private byte[] list() {
        long now = nowMillis.getAsLong();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartArray();
            for (CrashReport report : crashes.ledger().refused()) {
                RequestTrait request = report.request();
                CrashVerdict verdict = crashes.ledger().verdict(request, now);
                json.writeStartObject();
                new RefusedAsCrashing("", request, crashes.ledger().countedEnds(request), now)
                        .write(json);
                json.writeStringField("verdict", verdict.name());
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
