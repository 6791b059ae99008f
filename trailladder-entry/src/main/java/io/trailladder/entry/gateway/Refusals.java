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

import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.entry.gateway.DecisionLog.Intake;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

/** Answers and logs requests that are refused before they are sent to an upstream. */
final class Refusals {
    private static final int OVER_LIMIT = 429;
    private static final int UNAVAILABLE = 503;

    /**
     * Retry-After value of a stopping process, in milliseconds; another process accepts at once.
     */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 30;

    /** Retry-After value for lack of memory, in milliseconds; another process accepts at once. */
    private static final long FULL_RETRY_AFTER_MILLIS = 30;

    private static final byte[] EMPTY_BODY = {};
    private static final byte[] CRASHING_BODY =
            "not run: the servers that ran this request before ended under it\n"
                    .getBytes(StandardCharsets.UTF_8);

    private final ServingContext context;
    private final LongSupplier policyVersion;

    Refusals(ServingContext context, LongSupplier policyVersion) {
        this.context = context;
        this.policyVersion = policyVersion;
    }

    /**
     * Refuses a request.
     *
     * @param exchange the exchange with the caller
     * @param id the id of the caller's attempt; empty if it was not read
     * @param status the status of the answer
     * @param retryAfterMillis when a retry may succeed, in milliseconds; 0 if that is not known
     * @param reason the reason, for the log
     */
    void refuse(
            ServerExchange exchange, String id, int status, long retryAfterMillis, String reason) {
        log(id, status, reason);
        respond(exchange, status, retryAfterMillis);
    }

    void refuseForMemory(ServerExchange exchange) {
        refuse(exchange, "", UNAVAILABLE, FULL_RETRY_AFTER_MILLIS, "no room in memory");
    }

    void refuseAsStopping(ServerExchange exchange, String id) {
        refuse(exchange, id, UNAVAILABLE, STOPPING_RETRY_AFTER_MILLIS, "stopping");
    }

    /**
     * Refuses a request that makes upstreams end. The answer gives no time to retry, since the
     * cause is the request and not the moment. Its status states only what is certain, that this
     * try has not run; a caller refused by mistake may retry.
     */
    void refuseAsCrashing(ServerExchange exchange, String id) {
        log(id, UNAVAILABLE, "upstreams ended under it");
        HeaderList headers =
                context.protocol().refusal(0).with("Content-Type", "text/plain; charset=utf-8");
        respond(exchange, UNAVAILABLE, headers, CRASHING_BODY);
    }

    /** Refuses a request that is over the limit of its organisation. */
    void refuseOverLimit(PendingRequest pending, long retryAfterMillis) {
        String organisation = pending.request().organisation();
        logIntake(pending, OVER_LIMIT + ", over limit of " + organisation);
        respond(pending.exchange(), OVER_LIMIT, retryAfterMillis);
    }

    /** Refuses a request whose deadline passed while it waited for units. */
    void refuseExpired(PendingRequest pending) {
        logIntake(pending, UNAVAILABLE + ", no units before its deadline");
        long now = context.loop().nowMillis();
        long retryAfterMillis = context.retryAfter().retryAfterMillis(pending.request(), now);
        respond(pending.exchange(), UNAVAILABLE, retryAfterMillis);
    }

    /** Logs what became of a request at the limit of its organisation. */
    void logIntake(PendingRequest pending, String outcome) {
        ServingRequest request = pending.request();
        DecisionLog.write(
                new Intake(
                        request.id(),
                        request.route().name(),
                        request.organisation(),
                        pending.units(),
                        request.policyVersion(),
                        request.route().objectiveMillis(),
                        outcome));
    }

    private void log(String id, int status, String reason) {
        DecisionLog.write(
                new Intake(id, "", "", 0, policyVersion.getAsLong(), 0, status + ", " + reason));
    }

    private void respond(ServerExchange exchange, int status, long retryAfterMillis) {
        long jitteredMillis = context.retryAfter().withJitter(retryAfterMillis);
        respond(exchange, status, context.protocol().refusal(jitteredMillis), EMPTY_BODY);
    }

    private void respond(ServerExchange exchange, int status, HeaderList headers, byte[] body) {
        context.metrics().requestEnded("", "", "refused-" + status, 0);
        exchange.respond(status, headers, body);
    }
}
