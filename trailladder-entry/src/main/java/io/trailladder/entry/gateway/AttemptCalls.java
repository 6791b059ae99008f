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
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.OutgoingCall;
import io.trailladder.entry.http.OutgoingCall.UpstreamName;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.port.AttemptFields;
import io.trailladder.entry.port.RequestProtocol;
import io.trailladder.platform.http.HostPort;
import java.util.Optional;

/** Creates the outgoing calls that send a request to upstreams. */
final class AttemptCalls {
    /** Longest time-out for opening a connection, in milliseconds. */
    private static final long MAX_CONNECT_TIMEOUT_MILLIS = 400;

    /** Shortest time-out for opening a connection, in milliseconds. */
    private static final long MIN_CONNECT_TIMEOUT_MILLIS = 50;

    /**
     * Opening a connection may take this fraction (1/n) of the remaining time, so that another
     * attempt is still possible.
     */
    private static final int CONNECT_TIMEOUT_DIVISOR = 3;

    /** Longest idle time after which a connection is reused, in milliseconds. */
    private static final long MAX_IDLE_MILLIS = 1_500;

    /**
     * Longest idle time of a reused connection for requests that may not be repeated, in
     * milliseconds. On a connection that the upstream has just closed it would be unknown whether
     * such a request ran.
     */
    private static final long MAX_IDLE_UNREPEATABLE_MILLIS = 400;

    /** Time-out for a connection that only shows whether an upstream is there, in milliseconds. */
    private static final long CHECK_TIMEOUT_MILLIS = 150;

    private static final byte[] NO_BODY = {};

    private final RequestProtocol protocol;
    private final ServerExchange exchange;
    private final ServingRequest request;
    private final ConnectionShares connections;

    AttemptCalls(ServingContext context, ServerExchange exchange, ServingRequest request) {
        this.protocol = context.protocol();
        this.connections = context.connections();
        this.exchange = exchange;
        this.request = request;
    }

    /**
     * Creates a call.
     *
     * @param upstream the upstream to call
     * @param lastEventId id of the last event that the caller has received; empty to start from the
     *     beginning
     * @param nowMillis the current time, in milliseconds
     * @return the call
     */
    OutgoingCall to(Upstream upstream, String lastEventId, long nowMillis) {
        long remainingMillis = request.deadlineMillis() - nowMillis;
        HeaderList headers =
                protocol.attempt(
                        exchange.headers(),
                        new AttemptFields(
                                upstream.id(),
                                request.organisation(),
                                request.priority(),
                                remainingMillis,
                                lastEventId));
        return new OutgoingCall(
                HostPort.parse(upstream.address()),
                exchange.method(),
                exchange.uri(),
                headers,
                exchange.body(),
                request.route().repeatable() ? MAX_IDLE_MILLIS : MAX_IDLE_UNREPEATABLE_MILLIS,
                connectTimeoutMillis(remainingMillis),
                connections.maxIdle(request.service(), upstream),
                Optional.of(new UpstreamName(upstream.id(), request.id(), remainingMillis)));
    }

    /** Creates a call that opens a connection to an upstream, to see whether it is there. */
    OutgoingCall check(Upstream upstream) {
        return new OutgoingCall(
                HostPort.parse(upstream.address()),
                "",
                "",
                HeaderList.EMPTY,
                NO_BODY,
                0,
                CHECK_TIMEOUT_MILLIS,
                0,
                Optional.of(new UpstreamName(upstream.id(), request.id(), CHECK_TIMEOUT_MILLIS)));
    }

    private static long connectTimeoutMillis(long remainingMillis) {
        return Math.max(
                MIN_CONNECT_TIMEOUT_MILLIS,
                Math.min(MAX_CONNECT_TIMEOUT_MILLIS, remainingMillis / CONNECT_TIMEOUT_DIVISOR));
    }
}
