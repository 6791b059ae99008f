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
import io.trailladder.core.upstream.CostShare;
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.entry.log.EarlyLines;
import io.trailladder.entry.log.LineQueue;
import io.trailladder.entry.log.LineTime;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import java.util.List;
import java.util.Locale;

/**
 * Writes one structured log line for each decision. The fields of the line are those of the
 * decision's record.
 *
 * @since 0.2
 */
public final class DecisionLog {
    private static final JsonFactory JSON = new JsonFactory();

    private DecisionLog() {}

    /**
     * One kind of decision. Implementations write their fields one by one, because a library that
     * finds them by reflection costs a process a tenth of a second when it starts.
     */
    public interface Decision {
        /**
         * Writes the fields of the decision.
         *
         * @param json the generator, with an object open
         * @throws IOException if writing fails
         */
        void write(JsonGenerator json) throws IOException;
    }

    /**
     * A request was accepted or refused before any attempt.
     *
     * @param id the request
     * @param route the name of the route; empty if none
     * @param organisation the organisation; empty if unknown
     * @param size units counted against the organisation's limit
     * @param policyVersion version of the policy that was applied
     * @param objectiveMs objective for the time to the first answer, in milliseconds; 0 if refused
     * @param outcome the decision
     */
    public record Intake(
            String id,
            String route,
            String organisation,
            int size,
            long policyVersion,
            long objectiveMs,
            String outcome)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("route", route);
            json.writeStringField("organisation", organisation);
            json.writeNumberField("size", size);
            json.writeNumberField("policyVersion", policyVersion);
            json.writeNumberField("objectiveMs", objectiveMs);
            json.writeStringField("outcome", outcome);
        }
    }

    /**
     * An upstream was chosen for an attempt.
     *
     * @param id the request
     * @param attempt number of the attempt, from 1
     * @param upstream the upstream
     * @param predictedMs predicted time to the first answer, in milliseconds
     * @param costs the parts of the prediction, by cost term
     * @param running number of requests in progress at the upstream
     * @param waitingTokens prompt tokens waiting at the upstream
     * @param cachedTokens prompt tokens that the upstream probably has in its cache
     * @param candidates number of upstreams compared
     * @param peersAgeMs age of the oldest peer digest that was used, in milliseconds
     * @param listAgeMs time since the list of upstreams was last shown to be current, in
     *     milliseconds
     * @param resumeAfter id of the last event that the caller has received; empty to start from the
     *     beginning
     * @param version version of the upstream; empty if unknown
     * @param versionFrom how it is known that the stream may run at this version
     */
    public record Dispatch(
            String id,
            int attempt,
            String upstream,
            long predictedMs,
            List<CostShare> costs,
            int running,
            int waitingTokens,
            int cachedTokens,
            int candidates,
            long peersAgeMs,
            long listAgeMs,
            String resumeAfter,
            String version,
            StreamOrigin.Source versionFrom)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeNumberField("attempt", attempt);
            json.writeStringField("upstream", upstream);
            json.writeNumberField("predictedMs", predictedMs);
            for (CostShare cost : costs) {
                json.writeNumberField(cost.term() + "Ms", Math.round(cost.millis()));
            }
            json.writeNumberField("running", running);
            json.writeNumberField("waitingTokens", waitingTokens);
            json.writeNumberField("cachedTokens", cachedTokens);
            json.writeNumberField("candidates", candidates);
            json.writeNumberField("peersAgeMs", peersAgeMs);
            json.writeNumberField("listAgeMs", listAgeMs);
            json.writeStringField("resumeAfter", resumeAfter);
            json.writeStringField("version", version);
            json.writeStringField("versionFrom", versionFrom.name());
        }
    }

    /**
     * An attempt failed.
     *
     * @param id the request
     * @param upstream the upstream
     * @param failure the kind of failure
     * @param cause how the call to the upstream failed; empty if it did not, or was given up
     * @param status the upstream's HTTP status; 0 if none came
     * @param afterMs time since the attempt was sent, in milliseconds
     * @param recovery the action taken
     * @param budgetEmpty true if the retry budget of the service allowed no other attempt
     */
    public record AttemptFailed(
            String id,
            String upstream,
            String failure,
            String cause,
            int status,
            long afterMs,
            String recovery,
            boolean budgetEmpty)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("upstream", upstream);
            json.writeStringField("failure", failure);
            json.writeStringField("cause", cause);
            json.writeNumberField("status", status);
            json.writeNumberField("afterMs", afterMs);
            json.writeStringField("recovery", recovery);
            if (budgetEmpty) {
                json.writeBooleanField("budgetEmpty", true);
            }
        }
    }

    /**
     * A request ended.
     *
     * @param id the request
     * @param outcome how the request ended
     * @param status the HTTP status that the caller was sent; 0 if none
     * @param upstream the last upstream; empty if none
     * @param attempts number of times it was sent to an upstream
     * @param tookMs time since it was accepted, in milliseconds
     * @param firstMs time to the first byte of the answer, in milliseconds; negative if there was
     *     none
     */
    public record Ended(
            String id,
            String outcome,
            int status,
            String upstream,
            int attempts,
            long tookMs,
            long firstMs)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("outcome", outcome);
            json.writeNumberField("status", status);
            json.writeStringField("upstream", upstream);
            json.writeNumberField("attempts", attempts);
            json.writeNumberField("tookMs", tookMs);
            json.writeNumberField("firstMs", firstMs);
        }
    }

    /**
     * The process adopted a new value for a part of its state.
     *
     * @param what the part of the state
     * @param value the new value
     * @param source where the value came from
     * @param version version or revision of the value
     */
    public record Belief(String what, String value, String source, long version)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("what", what);
            json.writeStringField("value", value);
            json.writeStringField("source", source);
            json.writeNumberField("version", version);
        }
    }

    /**
     * A dependency was lost or regained, or the process started, stopped or reloaded its settings.
     *
     * @param what the dependency or the process
     * @param state its new state
     * @param detail the cause or further details
     */
    public record Lifecycle(String what, String state, String detail) implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("what", what);
            json.writeStringField("state", state);
            json.writeStringField("detail", detail);
        }
    }

    /**
     * Calls to the platform's store since the previous line. Each purpose and kind of call is a
     * field, such as {@code "members renewal"}, whose value is the number of calls.
     *
     * @param counts the numbers of calls
     */
    public record StoreUse(List<StoreCalls.Count> counts) implements Decision {
        /** Creates the decision with a copy of the counts. */
        public StoreUse {
            counts = List.copyOf(counts);
        }

        @Override
        public void write(JsonGenerator json) throws IOException {
            for (StoreCalls.Count count : counts) {
                String field = count.purpose() + " " + count.kind();
                json.writeNumberField(
                        field.toLowerCase(Locale.ROOT).replace('_', ' '), count.calls());
            }
        }
    }

    /**
     * A duty call was made.
     *
     * @param duty the duty
     * @param subject what the duty concerns
     * @param token the fencing token
     * @param result the platform's response
     */
    public record Duty(String duty, String subject, long token, String result) implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("duty", duty);
            json.writeStringField("subject", subject);
            json.writeNumberField("token", token);
            json.writeStringField("result", result);
        }
    }

    /**
     * Writes the log line of a decision.
     *
     * @param decision the decision
     */
    public static void write(Decision decision) {
        Line line = new Line(decision, Instant.now());
        if (!EarlyLines.keep(line)) {
            LineQueue.shared().add(line);
        }
    }

    /** A line that is formatted when it is written, with the delay until then if it is long. */
    private record Line(Decision decision, Instant decidedAt) {
        /**
         * Delay from which a line states it, in milliseconds: several pauses of the writing thread.
         */
        private static final long MIN_REPORTED_DELAY_MILLIS = 500;

        @Override
        public String toString() {
            String kind = decision.getClass().getSimpleName();
            StringWriter text = new StringWriter();
            try (JsonGenerator json = JSON.createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("time", LineTime.text(decidedAt));
                json.writeStringField("level", "INFO");
                json.writeObjectFieldStart("decision");
                json.writeStringField("kind", kind);
                decision.write(json);
                long delayMillis = System.currentTimeMillis() - decidedAt.toEpochMilli();
                if (delayMillis >= MIN_REPORTED_DELAY_MILLIS) {
                    json.writeNumberField("heldMs", delayMillis);
                }
                json.writeEndObject();
                json.writeEndObject();
            } catch (IOException e) {
                return "{\"level\":\"WARN\",\"message\":\"a line could not be written: "
                        + kind
                        + "\"}";
            }
            return text.toString();
        }
    }
}
