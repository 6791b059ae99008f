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
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;
import java.util.List;

/**
 * Log line: an upstream or the connection to it ended while the upstream had a request.
 *
 * @param id the id of this try of the request
 * @param request the trait of the whole request, the same for all its tries
 * @param upstream the upstream
 * @param ranMs time since the request was sent to the upstream, in milliseconds
 * @param parts the parts of its prompt of which each may be the cause; empty if it had begun to be
 *     answered
 * @param ends number of ends that now count against the request
 */
record UpstreamEnded(
        String id,
        RequestTrait request,
        List<RequestTrait> parts,
        String upstream,
        long ranMs,
        int ends)
        implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("request", request.toString());
        json.writeArrayFieldStart("parts");
        for (RequestTrait part : parts) {
            json.writeString(part.toString());
        }
        json.writeEndArray();
        json.writeStringField("upstream", upstream);
        json.writeNumberField("ranMs", ranMs);
        json.writeNumberField("ends", ends);
    }
}
