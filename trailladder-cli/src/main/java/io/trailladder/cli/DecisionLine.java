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
package io.trailladder.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.Optional;

/**
 * One decision read from a gateway's log.
 *
 * @param time when the line was written
 * @param source the text before the line's JSON, such as the process's name; often empty
 * @param kind the kind of decision, such as {@code Intake}
 * @param fields the decision's fields
 */
record DecisionLine(Instant time, String source, String kind, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The field names of the previous version, by current field name. */
    private static final Map<String, String> FORMER_NAMES = Map.of("upstream", "worker");

    /**
     * Parses a log line.
     *
     * @param line the line; the text before the first brace is its source
     * @return the decision; empty if the line is not a decision
     */
    static Optional<DecisionLine> parse(String line) {
        int brace = line.indexOf('{');
        if (brace < 0) {
            return Optional.empty();
        }
        try {
            JsonNode root = JSON.readTree(line.substring(brace));
            JsonNode decision = root.path("decision");
            if (!decision.isObject()) {
                return Optional.empty();
            }
            Instant time = Instant.parse(root.path("time").asText());
            String source = line.substring(0, brace).trim();
            return Optional.of(
                    new DecisionLine(time, source, decision.path("kind").asText(), decision));
        } catch (JsonProcessingException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    String text(String field) {
        String former = FORMER_NAMES.getOrDefault(field, field);
        return fields.path(fields.has(field) ? field : former).asText();
    }

    long number(String field) {
        return fields.path(field).asLong();
    }
}
