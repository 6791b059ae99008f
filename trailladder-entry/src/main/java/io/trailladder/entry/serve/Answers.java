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

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Outcome;
import io.trailladder.wire.PeerMessage.Header;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes whole answers and refusals in their HTTP form.
 *
 * @since 0.1
 */
public final class Answers {
    /** Header that says what is certain about a request without whole answer. */
    public static final String OUTCOME_HEADER = "Trailladder-Outcome";

    /** Header that names the request. */
    public static final String REQUEST_HEADER = "Trailladder-Request";

    /** Header that names the data centre that served the request. */
    public static final String SERVED_HEADER = "Trailladder-Served";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    private Answers() {}

    /**
     * Sends a whole answer.
     *
     * @param sink where to
     * @param status HTTP status
     * @param contentType its type
     * @param headers more headers
     * @param body the body
     */
    public static void send(
            CallerSink sink, int status, String contentType, List<Header> headers, byte[] body) {
        List<Header> all = new ArrayList<>(headers);
        all.add(new Header("Content-Type", contentType));
        all.add(new Header("Content-Length", Integer.toString(body.length)));
        sink.head(status, all);
        if (body.length > 0) {
            sink.body(body);
        }
        sink.end();
    }

    /**
     * Sends the final answer of a request that failed.
     *
     * @param sink where to
     * @param requestId the request's name; empty if it has none yet
     * @param failure the failure
     */
    public static void sendFailure(CallerSink sink, String requestId, Failure failure) {
        refuse(
                sink,
                requestId,
                failure.kind().status(),
                failure.outcome(),
                failure.retryAfterMillis(),
                failure.kind().message());
    }

    /**
     * Refuses a request that no upstream has seen.
     *
     * @param sink where to
     * @param status HTTP status
     * @param message what is wrong and what is expected
     */
    public static void refuse(CallerSink sink, int status, String message) {
        refuse(sink, status, Outcome.NOT_RUN, message);
    }

    /**
     * Refuses a request.
     *
     * @param sink where to
     * @param status HTTP status
     * @param outcome what is certain about the request
     * @param message what is wrong and what is expected
     */
    public static void refuse(CallerSink sink, int status, Outcome outcome, String message) {
        refuse(sink, "", status, outcome, 0, message);
    }

    /**
     * Writes an error as JSON.
     *
     * @param message the message
     * @param outcome the outcome
     * @return JSON text
     */
    public static String errorJson(String message, Outcome outcome) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error").put("message", message).put("outcome", outcome.headerValue());
        return root.toString();
    }

    private static void refuse(
            CallerSink sink,
            String requestId,
            int status,
            Outcome outcome,
            long retryAfterMillis,
            String message) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header(OUTCOME_HEADER, outcome.headerValue()));
        if (!requestId.isEmpty()) {
            headers.add(new Header(REQUEST_HEADER, requestId));
        }
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.add(new Header("Retry-After", Long.toString(seconds)));
        }
        byte[] body = errorJson(message, outcome).getBytes(StandardCharsets.UTF_8);
        send(sink, status, "application/json", headers, body);
    }
}
