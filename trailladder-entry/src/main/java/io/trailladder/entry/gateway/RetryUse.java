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
 * Log line: how a process used the retry budget of a service over a short time in which requests
 * asked for retries.
 *
 * @param service the service
 * @param forMillis the time covered, in milliseconds
 * @param counts what happened in that time
 * @param left number of retries that this process might still make at its end
 * @param sharing number of processes that share the allowance, as this one counts them; 0 if it
 *     does not know
 * @param ageMillis time since the process started, in milliseconds
 */
record RetryUse(
        String service, long forMillis, Counts counts, int left, int sharing, long ageMillis)
        implements DecisionLog.Decision {

    /** Numbers of events; all are zero at first. */
    static final class Counts {
        private int requests;
        private int sent;
        private int sentAgain;
        private int allowed;
        private int refused;

        /** Counts a request for the service. */
        void requested() {
            requests++;
        }

        /** Counts a request that is sent to an upstream. */
        void sent(boolean again) {
            if (again) {
                sentAgain++;
            } else {
                sent++;
            }
        }

        /** Counts the answer to a request that asked for a retry. */
        void asked(boolean retryAllowed) {
            if (retryAllowed) {
                allowed++;
            } else {
                refused++;
            }
        }

        /** Returns whether a retry was asked for or sent. */
        boolean isUnusual() {
            return sentAgain + allowed + refused > 0;
        }
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStringField("service", service);
        json.writeNumberField("forMs", forMillis);
        json.writeNumberField("requests", counts.requests);
        json.writeNumberField("sent", counts.sent);
        json.writeNumberField("sentAgain", counts.sentAgain);
        json.writeNumberField("allowed", counts.allowed);
        json.writeNumberField("refused", counts.refused);
        json.writeNumberField("left", left);
        json.writeNumberField("sharing", sharing);
        json.writeNumberField("ageMs", ageMillis);
    }
}
