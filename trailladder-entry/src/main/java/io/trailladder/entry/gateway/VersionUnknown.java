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
import io.trailladder.core.upstream.StreamCall;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;
import java.util.Optional;

/**
 * Log line: it is not known at which version a stream began that its caller resumes.
 *
 * @param id the request
 * @param call what the caller resumes
 * @param finding what the peers that were asked know
 * @param listAgeMs time since the list of upstreams was last shown to be current, in milliseconds
 * @param leftMs how long the caller still waits, in milliseconds
 * @param versions the plans that may be in use and the versions that they assign
 */
record VersionUnknown(
        String id,
        StreamCall call,
        Optional<StreamExchange.Finding> finding,
        long listAgeMs,
        long leftMs,
        String versions)
        implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("service", call.service());
        json.writeStringField("resumes", call.attempt());
        if (finding.isPresent()) {
            json.writeNumberField("asked", finding.get().asked());
            json.writeNumberField("answered", finding.get().answered());
            json.writeBooleanField("recordRead", finding.get().recordRead());
        }
        json.writeNumberField("listAgeMs", listAgeMs);
        json.writeNumberField("leftMs", leftMs);
        json.writeStringField("versions", versions);
    }
}
