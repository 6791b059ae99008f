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
import io.trailladder.core.upstream.LimitNotice;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;

/**
 * Log line: an answer reported something about its upstream.
 *
 * @param id id of the request that was answered
 * @param upstream the upstream
 * @param status HTTP status of the answer
 * @param leaving whether the upstream reports that it is leaving
 * @param restMs requested back-off of this process, in milliseconds; 0 if none
 * @param limit how many requests it takes from all processes together
 * @param brittle the number of refusals in a second at which it ends; 0 if it announces none
 * @param fault what could not be parsed; empty if nothing
 */
record UpstreamSaid(
        String id,
        String upstream,
        int status,
        boolean leaving,
        long restMs,
        LimitNotice limit,
        double brittle,
        String fault)
        implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("upstream", upstream);
        json.writeNumberField("status", status);
        json.writeBooleanField("leaving", leaving);
        json.writeNumberField("restMs", restMs);
        json.writeStringField("limit", limit.kind().name());
        json.writeNumberField("limitPerSecond", limit.perSecond());
        json.writeNumberField("brittle", brittle);
        json.writeStringField("fault", fault);
    }
}
