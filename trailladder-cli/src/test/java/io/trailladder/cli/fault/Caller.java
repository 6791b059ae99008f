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
package io.trailladder.cli.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.IntConsumer;

/** A caller of one entry. */
final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final String entry;
    private final String key;

    /** A whole HTTP answer; status 0 if the connection broke. */
    record Reply(int status, String outcome, String retryAfter, String body) {}

    /** What came of a stream; whole only with its end. */
    record Streamed(
            int status, String requestId, String text, int tokens, boolean whole, boolean moved) {}

    Caller(String entry, String key) {
        this.entry = entry;
        this.key = key;
    }

    Reply call(String path, String body, String... headers) {
        HttpRequest.Builder request = request(path).POST(BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        try {
            HttpResponse<String> response = CLIENT.send(request.build(), BodyHandlers.ofString());
            return new Reply(
                    response.statusCode(),
                    response.headers().firstValue("Trailladder-Outcome").orElse(""),
                    response.headers().firstValue("Retry-After").orElse(""),
                    response.body());
        } catch (IOException e) {
            return new Reply(0, "", "", e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    Reply once(String idempotencyKey, String body) {
        return call(
                "/services/" + Deployment.SERVICE + "/quote",
                body,
                "Idempotency-Key",
                idempotencyKey,
                "Trailladder-Run",
                "at-most-once");
    }

    Streamed stream(String prompt, int maxTokens, IntConsumer onToken) {
        ObjectNode body = JSON.createObjectNode();
        body.put("model", Deployment.MODEL).put("prompt", prompt);
        body.put("max_tokens", maxTokens).put("stream", true);
        return read(
                request("/v1/completions").POST(BodyPublishers.ofString(body.toString())).build(),
                onToken);
    }

    Streamed resume(String requestId, int lastEvent) {
        HttpRequest.Builder request = request("/v1/requests/" + requestId).GET();
        if (lastEvent >= 0) {
            request.header("Last-Event-ID", Integer.toString(lastEvent));
        }
        return read(request.build(), token -> {});
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + entry + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key);
    }

    private static Streamed read(HttpRequest request, IntConsumer onToken) {
        StringBuilder text = new StringBuilder();
        String requestId = "";
        int status = 0;
        int tokens = 0;
        boolean whole = false;
        boolean moved = false;
        try {
            HttpResponse<InputStream> response = CLIENT.send(request, BodyHandlers.ofInputStream());
            status = response.statusCode();
            requestId = response.headers().firstValue("Trailladder-Request").orElse("");
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(response.body(), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                whole |= line.equals("data: [DONE]");
                moved |= line.equals("event: moved");
                JsonNode choice =
                        line.startsWith("data: {")
                                ? JSON.readTree(line.substring(6)).at("/choices/0")
                                : JSON.createObjectNode();
                if (choice.path("finish_reason").isNull()) {
                    text.append(choice.path("text").asText());
                    tokens++;
                    onToken.accept(tokens);
                }
            }
        } catch (IOException e) {
            whole = false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return new Streamed(status, requestId, text.toString(), tokens, whole, moved);
    }
}
