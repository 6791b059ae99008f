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
 * Log line: the first event of an answer that resumes a stream arrived.
 *
 * @param id the request
 * @param upstream the upstream
 * @param resumeAfter id of the last event that the caller has received
 * @param firstEvent id of the event that arrived; empty if it has none
 */
record StreamResumed(String id, String upstream, String resumeAfter, String firstEvent)
        implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("upstream", upstream);
        json.writeStringField("resumeAfter", resumeAfter);
        json.writeStringField("firstEvent", firstEvent);
    }
}
