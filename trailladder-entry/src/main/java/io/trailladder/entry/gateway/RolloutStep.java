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

import com.fasterxml.jackson.core.JsonGenerator;
import io.trailladder.core.rollout.AnswerCount;
import io.trailladder.core.rollout.RouteEvidence;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;
import java.util.List;

/**
 * The status of a roll-out as its leader knows it, logged at each change and once a second.
 *
 * @param service the service
 * @param version the version to which the traffic moves
 * @param phase the current phase
 * @param recorded the state that the store records
 * @param reason why the phase was reached, or what the roll-out waits for
 * @param leftMs time left until the deadline, in milliseconds; -1 if the deadline is not known
 * @param bound share of the requests that the version may get before the deadline
 * @param routes the evidence of all processes, by route
 */
record RolloutStep(
        String service,
        String version,
        String phase,
        String recorded,
        String reason,
        long leftMs,
        double bound,
        List<RouteEvidence> routes)
        implements Decision {
    /** Copies the evidence. */
    public RolloutStep {
        routes = List.copyOf(routes);
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("service", service);
        json.writeStringField("version", version);
        json.writeStringField("phase", phase);
        json.writeStringField("recorded", recorded);
        json.writeStringField("reason", reason);
        json.writeNumberField("leftMs", leftMs);
        json.writeNumberField("bound", bound);
        json.writeArrayFieldStart("routes");
        for (RouteEvidence route : routes) {
            json.writeStartObject();
            json.writeStringField("route", route.route());
            write(json, "old", route.old());
            write(json, "new", route.target());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void write(JsonGenerator json, String name, AnswerCount count)
            throws IOException {
        json.writeObjectFieldStart(name);
        json.writeNumberField("answers", count.answers());
        json.writeNumberField("bad", count.bad());
        json.writeNumberField("slow", count.slow());
        json.writeEndObject();
    }
}
