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

import io.trailladder.core.crash.RequestFingerprint;
import io.trailladder.entry.http.ServerExchange;

/** Knows a request's fingerprint, which is made when it is first asked for: few ever are. */
final class RequestIdentity {
    private final ServerExchange exchange;
    private final String host;
    private final String callerKey;
    private RequestFingerprint fingerprint;

    RequestIdentity(ServerExchange exchange, String host, String callerKey) {
        this.exchange = exchange;
        this.host = host;
        this.callerKey = callerKey;
    }

    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint =
                    RequestFingerprint.of(
                            callerKey, exchange.method(), host + exchange.uri(), exchange.body());
        }
        return fingerprint;
    }
}
