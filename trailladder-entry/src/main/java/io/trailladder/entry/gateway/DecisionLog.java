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
import io.trailladder.entry.log.EarlyLines;
import io.trailladder.entry.log.LineQueue;
import io.trailladder.entry.log.LineTime;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import java.util.List;
import java.util.Locale;

/**
 * Writes one structured line for each decision. The line's fields are those of the decision's
 * record.
 *
 * @since 0.2
 */
public final class DecisionLog {
    private static final JsonFactory JSON = new JsonFactory();

    private DecisionLog() {}

    /**
     * One kind of decision. Its fields are written one by one: a library that looks them up by
     * reflection takes a process that has just started a tenth of a second.
     */
    public interface Decision {
        /**
         * Writes the decision's fields.
         *
         * @param json writes into an open object
         * @throws IOException if it cannot write
         */
        void write(JsonGenerator json) throws IOException;
    }

    /**
     * A request was accepted or refused before any attempt.
     *
     * @param id the request
     * @param route the route; empty if there is none
     * @param organisation whose it is; empty if not known
     * @param size units counted against the organisation's limit
     * @param policyVersion version of the policy that decided
     * @param objectiveMs time inside which its answer is in time, in milliseconds; 0 if refused
     * @param outcome what was decided
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
     * @param predictedMs predicted time to its first answer, in milliseconds
     * @param costs what made it up, by cost term
     * @param running requests under way there
     * @param waitingTokens prompt tokens waiting there
     * @param cachedTokens tokens of the prompt it probably holds
     * @param candidates upstreams weighed
     * @param peersAgeMs age of the oldest peer digest that was used, in milliseconds
     * @param resumeAfter the last event the caller has; empty for a beginning
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
            String resumeAfter)
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
            json.writeStringField("resumeAfter", resumeAfter);
        }
    }

    /**
     * An attempt failed.
     *
     * @param id the request
     * @param upstream the upstream
     * @param failure how it failed
     * @param status the upstream's HTTP status; 0 if none came
     * @param afterMs time since the attempt was sent, in milliseconds
     * @param recovery what is done now
     */
    public record AttemptFailed(
            String id, String upstream, String failure, int status, long afterMs, String recovery)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("upstream", upstream);
            json.writeStringField("failure", failure);
            json.writeNumberField("status", status);
            json.writeNumberField("afterMs", afterMs);
            json.writeStringField("recovery", recovery);
        }
    }

    /**
     * A request ended.
     *
     * @param id the request
     * @param outcome how
     * @param status the HTTP status that the caller was sent; 0 if none
     * @param upstream the last upstream; empty if there was none
     * @param attempts upstreams it was sent to
     * @param tookMs time since it was accepted, in milliseconds
     * @param firstMs time to the first byte of the answer, in milliseconds; below 0 if there was
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
     * The process began to believe something new.
     *
     * @param what what it is about
     * @param value the new value
     * @param source where it was learned
     * @param version its version or revision
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
     * A dependency was lost or regained, or the process started, stopped or read its settings anew.
     *
     * @param what the dependency or the process
     * @param state its new state
     * @param detail what led to it
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
     * Calls to the platform's store since the line before. Each sort is a field, such as {@code
     * "members renewal"}, with their number.
     *
     * @param counts the calls
     */
    public record StoreUse(List<StoreCalls.Count> counts) implements Decision {
        /** Copies the counts. */
        public StoreUse {
            counts = List.copyOf(counts);
        }

        @Override
        public void write(JsonGenerator json) throws IOException {
            for (StoreCalls.Count count : counts) {
                String sort = count.purpose() + " " + count.kind();
                json.writeNumberField(
                        sort.toLowerCase(Locale.ROOT).replace('_', ' '), count.calls());
            }
        }
    }

    /**
     * A duty call was made.
     *
     * @param duty which duty
     * @param subject what it is about
     * @param token the fencing token
     * @param result the platform's answer
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
     * Writes a line.
     *
     * @param decision the decision
     */
    public static void write(Decision decision) {
        Line line = new Line(decision, Instant.now());
        if (!EarlyLines.keep(line)) {
            LineQueue.shared().add(line);
        }
    }

    /** Turns a decision into text when the line is written, and tells if that is much later. */
    private record Line(Decision decision, Instant decidedAt) {
        /** Several times what the writing thread pauses, in milliseconds. */
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
                long held = System.currentTimeMillis() - decidedAt.toEpochMilli();
                if (held >= MIN_REPORTED_DELAY_MILLIS) {
                    json.writeNumberField("heldMs", held);
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
