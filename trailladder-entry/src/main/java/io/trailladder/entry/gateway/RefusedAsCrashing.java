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
import io.trailladder.core.crash.CrashHistory;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;

/**
 * Log line: a request is not sent to an upstream because upstreams ended while running it before.
 *
 * @param id the id of this try of the request
 * @param request the whole request, or the part of its prompt, that is refused
 * @param ends the ends of upstreams that count
 * @param nowMillis the time at which their ages are computed, in milliseconds
 */
record RefusedAsCrashing(
        String id, RequestTrait request, List<CrashHistory.CountedEnd> ends, long nowMillis)
        implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("request", request.toString());
        json.writeArrayFieldStart("ends");
        for (CrashHistory.CountedEnd known : ends) {
            json.writeStartObject();
            json.writeStringField("life", HexFormat.of().toHexDigits(known.end().incarnation()));
            json.writeNumberField("ageMs", nowMillis - known.end().atMillis());
            json.writeNumberField("ranMs", known.end().ranMillis());
            json.writeStringField("toldBy", known.source());
            json.writeEndObject();
        }
        json.writeEndArray();
    }
}
