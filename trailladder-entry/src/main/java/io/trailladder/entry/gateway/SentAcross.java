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
 * Log line: a request was sent to another region.
 *
 * @param id the request
 * @param region the other region
 * @param hereMs predicted time until an answer begins in the own region, in milliseconds; -1 if no
 *     upstream there serves
 * @param thereMs predicted time until an answer begins in the other region, in milliseconds
 */
record SentAcross(String id, String region, long hereMs, long thereMs) implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("region", region);
        json.writeNumberField("hereMs", hereMs);
        json.writeNumberField("thereMs", thereMs);
    }
}
