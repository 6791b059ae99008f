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
 * Log line: whether an upstream's answer was taken as complete that ended with its connection, or
 * as an incomplete stream.
 *
 * @param id the request
 * @param upstream the upstream
 * @param framing how the answer told where its body ends
 * @param events the number of complete events
 * @param incompleteBytes bytes after the last complete event
 * @param finding whether it was taken as complete, and why not
 */
record AnswerEnd(
        String id,
        String upstream,
        AnswerFraming framing,
        int events,
        int incompleteBytes,
        Finding finding)
        implements Decision {
    /** What an answer was taken for. */
    enum Finding {
        /** The whole answer. */
        COMPLETE,
        /** A stream that ends inside an event, or before its first one. */
        INCOMPLETE_STREAM,
        /** The first answer without framing that resumes a stream with no event. */
        UNCONFIRMED_END,
        /** An answer without framing whose upstream could not be reached after its end. */
        UPSTREAM_ENDED
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("upstream", upstream);
        json.writeStringField("framing", framing.name());
        json.writeNumberField("events", events);
        json.writeNumberField("incompleteBytes", incompleteBytes);
        json.writeStringField("finding", finding.name());
    }
}
