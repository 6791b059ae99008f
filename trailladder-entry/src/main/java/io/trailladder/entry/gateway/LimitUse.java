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
import java.io.IOException;

/**
 * What a process admitted of one organisation over a short time, and what it knew of the others.
 *
 * @param organisation the organisation
 * @param forMillis the time covered, in milliseconds
 * @param use the sums over that time
 * @param heard number of processes whose figures were known, this one included
 * @param sharing number of processes that share the limit
 * @param oldestMillis age of the oldest digest that counted, in milliseconds; 0 without peers
 */
record LimitUse(
        String organisation,
        long forMillis,
        LimitUseCount use,
        int heard,
        int sharing,
        long oldestMillis)
        implements DecisionLog.Decision {
    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("organisation", organisation);
        json.writeNumberField("forMs", forMillis);
        for (LimitBasis basis : LimitBasis.values()) {
            writeUnits(json, basis.field(), use.admitted(basis));
        }
        writeUnits(json, "furtherTries", use.furtherTries());
        writeUnits(json, "sentLate", use.sentLate());
        json.writeNumberField("refused", use.refused());
        if (use.unansweredRequests() > 0) {
            json.writeNumberField("unanswered", use.unansweredRequests());
        }
        json.writeNumberField("heard", heard);
        json.writeNumberField("sharing", sharing);
        json.writeNumberField("oldestMs", oldestMillis);
    }

    private static void writeUnits(JsonGenerator json, String name, double units)
            throws IOException {
        if (units != 0) {
            json.writeNumberField(name, Math.round(units));
        }
    }
}
