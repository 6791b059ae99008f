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
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;

/**
 * Log line: an attempt failed because its answer does not continue the stream that the caller has.
 *
 * @param id the request
 * @param upstream the upstream
 * @param lastEvent id of the last event that the caller has; empty if none
 * @param event id of the event that was not forwarded; empty if the answer brings none
 * @param finding what is wrong with the answer
 */
record AnswerOutOfOrder(String id, String upstream, String lastEvent, String event, Finding finding)
        implements Decision {
    /** What is wrong with an answer. */
    enum Finding {
        /** The event has been delivered, or belongs to another run. */
        REPEATED,
        /** Events before it are missing. */
        AFTER_A_GAP,
        /** The content type of an answer that was to resume the stream is another one. */
        NO_EVENT_STREAM
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("upstream", upstream);
        json.writeStringField("lastEvent", lastEvent);
        json.writeStringField("event", event);
        json.writeStringField("finding", finding.name());
    }
}
