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
import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;

/**
 * Log line: what is known of the paths from this process to the upstreams has changed.
 *
 * @param change the change
 */
record PathState(PathMonitor.Change change) implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("state", change.state().name());
        json.writeNumberField("failedUpstreams", change.failed());
        json.writeNumberField("throughPeers", change.throughPeers());
        json.writeNumberField("sinceMs", change.sinceMillis());
    }
}
