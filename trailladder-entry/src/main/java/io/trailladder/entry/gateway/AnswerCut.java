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
 * Log line: an answer was ended before its caller had received all of it, because the caller did
 * not read it.
 *
 * @param id the request
 * @param organisation the organisation of the request; empty if none
 * @param reason why the answer was ended
 * @param unreadBytes bytes of the answer that the caller has not read
 * @param unreadMs time since the caller last read anything, in milliseconds
 * @param level the memory level of the process
 * @param heldBytes bytes that the process has reserved for all requests
 */
record AnswerCut(
        String id,
        String organisation,
        String reason,
        long unreadBytes,
        long unreadMs,
        String level,
        long heldBytes)
        implements Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("organisation", organisation);
        json.writeStringField("reason", reason);
        json.writeNumberField("unreadBytes", unreadBytes);
        json.writeNumberField("unreadMs", unreadMs);
        json.writeStringField("level", level);
        json.writeNumberField("heldBytes", heldBytes);
    }
}
