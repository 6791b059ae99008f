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
 * Log line: what became of an attempt whose upstream sends bytes that complete nothing.
 *
 * @param id the request
 * @param upstream the upstream
 * @param framing how the answer tells where its body ends
 * @param events the number of complete events
 * @param bytes bytes of the body since the last complete event, or of the body without one
 * @param progressMs time since the answer last progressed, in milliseconds
 * @param receivedMs time since any byte was received, in milliseconds
 * @param finding whether the attempt was given up, and why
 */
record WithoutProgress(
        String id,
        String upstream,
        AnswerFraming framing,
        int events,
        long bytes,
        long progressMs,
        long receivedMs,
        Finding finding)
        implements Decision {
    /** What became of an attempt. */
    enum Finding {
        /** It goes on, since bytes arrive, or since no other attempt is allowed. */
        KEPT,
        /** It was given up because its time was over. */
        TOO_LONG,
        /** It was given up because of the number of bytes. */
        TOO_LARGE,
        /** It was given up because this process has too little memory for more of its bytes. */
        NO_MEMORY
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("upstream", upstream);
        json.writeStringField("framing", framing.name());
        json.writeNumberField("events", events);
        json.writeNumberField("bytes", bytes);
        json.writeNumberField("progressMs", progressMs);
        json.writeNumberField("receivedMs", receivedMs);
        json.writeStringField("finding", finding.name());
    }
}
