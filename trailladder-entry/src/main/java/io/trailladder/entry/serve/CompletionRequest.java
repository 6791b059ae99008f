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

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * A model request in the forms of {@code /v1/completions} and {@code /v1/chat/completions}.
 *
 * @param model the model
 * @param prompt the prompt; for a chat, its messages as text
 * @param maxTokens most tokens the answer may have
 * @param stream true if the answer is wanted token by token
 * @param chat true for the chat form
 * @since 0.1
 */
public record CompletionRequest(
        String model, String prompt, int maxTokens, boolean stream, boolean chat) {
    /** Path of the chat form. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    /** Path of the plain form. */
    public static final String PLAIN_PATH = "/v1/completions";

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS = 16_384;
    private static final int MAX_NESTING_DEPTH = 32;
    private static final ObjectMapper JSON = mapper();

    /**
     * Reads a request body.
     *
     * @param body the body
     * @param chat true for the chat form
     * @return the request, or what is wrong with the body
     */
    public static Either<String, CompletionRequest> parse(byte[] body, boolean chat) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (IOException e) {
            return Either.left("the body is not valid JSON");
        }
        if (root == null || !root.isObject()) {
            return Either.left("the body is no JSON object");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            return Either.left("field 'model', expected the name of a model");
        }
        JsonNode max = root.path("max_tokens");
        int maxTokens = max.isMissingNode() ? DEFAULT_MAX_TOKENS : max.asInt(0);
        if (maxTokens < 1 || maxTokens > MAX_TOKENS) {
            return Either.left("field 'max_tokens', expected 1 to " + MAX_TOKENS);
        }
        boolean stream = root.path("stream").asBoolean(false);
        return prompt(root, chat)
                .map(
                        prompt ->
                                new CompletionRequest(
                                        model.asText(), prompt, maxTokens, stream, chat));
    }

    private static Either<String, String> prompt(JsonNode root, boolean chat) {
        if (!chat) {
            JsonNode prompt = root.path("prompt");
            return prompt.isTextual()
                    ? Either.right(prompt.asText())
                    : Either.left("field 'prompt', expected a text");
        }
        StringBuilder text = new StringBuilder();
        JsonNode messages = root.path("messages");
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                return Either.left("field 'messages', expected texts 'role' and 'content' in each");
            }
            text.append(message.path("role").asText())
                    .append(": ")
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return text.isEmpty()
                ? Either.left("field 'messages', expected at least one message")
                : Either.right(text.toString());
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = JsonMapper.builder().build();
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build());
        return mapper;
    }
}
