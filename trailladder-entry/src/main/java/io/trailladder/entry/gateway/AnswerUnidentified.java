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
import io.trailladder.entry.port.AnswerIdentity;
import java.io.IOException;

/**
 * Log line: the head of an upstream's answer does not show that it is the answer to the request,
 * and nothing of it is passed on.
 *
 * @param id the request
 * @param upstream the upstream
 * @param status the status in the head
 * @param framing how the answer told where its body ends
 * @param identity what the head shows
 */
record AnswerUnidentified(
        String id, String upstream, int status, AnswerFraming framing, AnswerIdentity identity)
        implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("upstream", upstream);
        json.writeNumberField("status", status);
        json.writeStringField("framing", framing.name());
        json.writeStringField("identity", identity.name());
    }
}
