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

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.trailladder.core.request.Failure;
import io.trailladder.wire.RequestRecord;
import java.nio.charset.StandardCharsets;

/**
 * Writes model answers in the forms of {@code /v1/completions} and {@code /v1/chat/completions}.
 *
 * <p>Every event of a stream carries the token's position as its id, so that a caller can ask for
 * the rest with {@code Last-Event-ID}.
 *
 * @since 0.1
 */
final class CompletionWriter {
    private final RequestRecord request;
    private final String eventPrefix;
    private final String eventSuffix;

    CompletionWriter(RequestRecord request) {
        this.request = request;
        String object = request.chat() ? "chat.completion.chunk" : "text_completion";
        String choice = request.chat() ? "\"delta\":{\"content\":\"" : "\"text\":\"";
        eventPrefix =
                "data: {\"id\":\""
                        + escaped(request.requestId())
                        + "\",\"object\":\""
                        + object
                        + "\",\"created\":"
                        + request.createdMillis() / 1000
                        + ",\"model\":\""
                        + escaped(request.model())
                        + "\",\"choices\":[{\"index\":0,"
                        + choice;
        eventSuffix = request.chat() ? "\"},\"finish_reason\":" : "\",\"finish_reason\":";
    }

    byte[] tokenEvent(int position, String token) {
        return bytes("id: " + position + "\n" + eventPrefix + escaped(token) + eventSuffix + "null}]}\n\n");
    }

    byte[] endEvent(int tokens) {
        return bytes(
                eventPrefix + eventSuffix + "\"stop\"}],\"usage\":" + usage(tokens) + "}\n\ndata: [DONE]\n\n");
    }

    /** Tells the caller of a stream to ask any entry for the rest. */
    byte[] movedEvent() {
        return bytes(
                "event: moved\nretry: 100\ndata: {\"request\":\""
                        + escaped(request.requestId())
                        + "\"}\n\n");
    }

    byte[] failureEvent(Failure failure) {
        String json = Answers.errorJson(failure.kind().message(), failure.outcome());
        return bytes("event: error\ndata: " + json + "\n\n");
    }

    byte[] completeAnswer(String text, int tokens) {
        String choice =
                request.chat()
                        ? "\"message\":{\"role\":\"assistant\",\"content\":\""
                                + escaped(text)
                                + "\"}"
                        : "\"text\":\"" + escaped(text) + "\"";
        return bytes(
                "{\"id\":\""
                        + escaped(request.requestId())
                        + "\",\"object\":\""
                        + (request.chat() ? "chat.completion" : "text_completion")
                        + "\",\"created\":"
                        + request.createdMillis() / 1000
                        + ",\"model\":\""
                        + escaped(request.model())
                        + "\",\"choices\":[{\"index\":0,"
                        + choice
                        + ",\"finish_reason\":\"stop\"}],\"usage\":"
                        + usage(tokens)
                        + "}");
    }

    private static String usage(int tokens) {
        return "{\"completion_tokens\":" + tokens + "}";
    }

    private static String escaped(String text) {
        return String.valueOf(JsonStringEncoder.getInstance().quoteAsString(text));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
