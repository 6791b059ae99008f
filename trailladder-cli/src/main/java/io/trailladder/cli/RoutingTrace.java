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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.core.TrailladderException;
import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.membership.LocalUpstreamDirectory;
import io.trailladder.core.routing.LoadReport;
import io.trailladder.core.routing.PromptBlocks;
import io.trailladder.core.routing.Router;
import io.trailladder.core.routing.RoutingDecision;
import io.trailladder.core.routing.RoutingQuery;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Applies the events of a recorded trace to a router and compares its decisions.
 *
 * @since 0.1
 */
final class RoutingTrace {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final LocalUpstreamDirectory directory = new LocalUpstreamDirectory();
    private final List<String> differences = new ArrayList<>();
    private Router router;
    private int decisions;

    /**
     * Applies the next line of the trace; the first line describes the set-up.
     *
     * @param line the line's number, from 1
     * @param text the line
     * @throws BadTraceException if the line is not valid
     */
    void apply(int line, String text) {
        JsonNode event;
        try {
            event = JSON.readTree(text);
        } catch (IOException e) {
            throw new BadTraceException(line, text);
        }
        if (router == null) {
            readHead(line, event);
            return;
        }
        long now = event.path("at").asLong();
        String upstream = event.path("upstream").asText();
        switch (event.path("event").asText()) {
            case "request" -> request(line, event, now);
            case "ended" -> router.load(upstream).ended();
            case "leaving" -> directory.leavingNoticed(upstream);
            case "report" -> router.load(upstream).reported(report(event), now);
            default -> throw new BadTraceException(line, text);
        }
    }

    /** Returns a message for each decision that differs from the trace. */
    List<String> differences() {
        return differences;
    }

    /** Returns the number of decisions made. */
    int decisions() {
        return decisions;
    }

    private void readHead(int line, JsonNode head) {
        String dataCentre = head.path("dataCentre").asText();
        if (dataCentre.isEmpty() || !head.path("upstreams").isArray()) {
            throw new BadTraceException(line, head.toString());
        }
        List<LocalUpstream> upstreams = new ArrayList<>();
        for (JsonNode node : head.path("upstreams")) {
            upstreams.add(
                    new LocalUpstream(
                            node.path("id").asText(),
                            node.path("dataCentre").asText(dataCentre),
                            "",
                            node.path("target").asText()));
        }
        directory.listed(upstreams, List.of());
        router = new Router(dataCentre, directory, head.path("seed").asLong());
    }

    private void request(int line, JsonNode event, long now) {
        String organisation = event.path("organisation").asText();
        String target = event.path("target").asText();
        PromptBlocks blocks = PromptBlocks.of(organisation, target, event.path("prompt").asText());
        RoutingQuery query =
                new RoutingQuery(target, blocks, event.path("maxTokens").asInt(256), Set.of());
        RoutingDecision decision = router.choose(query, now);
        decision.chosen().ifPresent(id -> router.sent(query, id, now));
        decisions++;
        String expected = event.path("expected").asText();
        Optional<String> expectedId = Optional.of(expected).filter(id -> !id.isEmpty());
        if (!decision.chosen().equals(expectedId)) {
            differences.add(
                    line
                            + ": expected '"
                            + expected
                            + "', decided '"
                            + decision.chosen().orElse("")
                            + "' from "
                            + decision.candidates());
        }
    }

    private static LoadReport report(JsonNode event) {
        return new LoadReport(
                event.path("running").asInt(),
                event.path("slots").asInt(32),
                event.path("waiting").asInt(),
                event.path("queuedPromptTokens").asInt(),
                event.path("prefillTokensPerSecond").asInt(8_000),
                event.path("tokenMillis").asInt(25));
    }

    /** Thrown for a line that is not a valid event. */
    static final class BadTraceException extends TrailladderException {
        private static final long serialVersionUID = 1L;

        BadTraceException(int line, String text) {
            super(
                    "trace line "
                            + line
                            + " is '"
                            + text
                            + "', expected "
                            + (line == 1
                                    ? "an object with dataCentre, seed and upstreams"
                                    : "an event: request, ended, report or leaving"));
        }
    }
}
