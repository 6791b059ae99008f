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
 * A request was ended before a further attempt, because none could bring an answer in time.
 *
 * @param id the request
 * @param reason why
 * @param placeMs how long a place was expected to be waited for, in milliseconds; 0 if no upstream
 *     serves
 * @param leftMs time left to its deadline, in milliseconds
 */
record TurnedAway(String id, String reason, long placeMs, long leftMs) implements Decision {
    /** No upstream of the service takes new work, or all were tried. */
    static final String NO_UPSTREAM = "no upstream left";

    /** All upstreams of the service that stay have asked this process for rest, or name a limit. */
    static final String NONE_AVAILABLE = "all upstreams rest or are limited";

    /** All upstreams left take bodies more slowly than they come. */
    static final String NO_BODY_CAPACITY = "no upstream takes bodies";

    /** Every place is taken for longer than the caller waits. */
    static final String NO_PLACE_IN_TIME = "no place in time";

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("id", id);
        json.writeStringField("reason", reason);
        json.writeNumberField("placeMs", placeMs);
        json.writeNumberField("leftMs", leftMs);
    }
}
