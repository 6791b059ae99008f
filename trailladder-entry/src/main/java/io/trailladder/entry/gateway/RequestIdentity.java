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
import java.util.function.Supplier;

/** Knows a request's fingerprint, which is made when it is first asked for: few ever are. */
final class RequestIdentity {
    private final Supplier<RequestFingerprint> fingerprintSupplier;
    private RequestFingerprint fingerprint;

    RequestIdentity(Supplier<RequestFingerprint> maker) {
        this.fingerprintSupplier = maker;
    }

    /** Returns the identity of a caller's request. */
    static RequestIdentity of(ServerExchange exchange, String host, String callerKey) {
        return new RequestIdentity(
                () ->
                        RequestFingerprint.of(
                                callerKey,
                                exchange.method(),
                                host + exchange.uri(),
                                exchange.body()));
    }

    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = fingerprintSupplier.get();
        }
        return fingerprint;
    }
}
