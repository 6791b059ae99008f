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
package io.trailladder.entry.http;

import io.trailladder.platform.http.HostPort;
import java.util.Optional;

/**
 * A request to an HTTP server.
 *
 * @param target the server
 * @param method HTTP method
 * @param uri path with query, sent unchanged
 * @param headers header fields with the host, without the hop-by-hop fields
 * @param body the body; empty for none
 * @param maxIdleMillis maximum idle time of a connection that may be reused, in milliseconds; 0 for
 *     a new connection
 * @param connectTimeoutMillis timeout for opening a connection, in milliseconds
 * @param maxIdleConnections maximum number of idle connections to the server
 * @param upstream the upstream that the server is; empty for any other server
 * @since 0.2
 */
public record OutgoingCall(
        HostPort target,
        String method,
        String uri,
        HeaderList headers,
        byte[] body,
        long maxIdleMillis,
        long connectTimeoutMillis,
        int maxIdleConnections,
        Optional<UpstreamName> upstream) {
    /**
     * An upstream that is called.
     *
     * @param name the upstream's name
     * @param requestId id of the request for which it is called
     * @param lifetimeMillis time after which the request is over, in milliseconds
     */
    public record UpstreamName(String name, String requestId, long lifetimeMillis) {}

    /** Maximum number of idle connections to a server that does not limit its connections. */
    public static final int MAX_IDLE_CONNECTIONS = 64;

    /**
     * Creates a call to a server that does not limit its connections.
     *
     * @param target the server
     * @param method HTTP method
     * @param uri path with query, sent unchanged
     * @param headers header fields with the host, without the hop-by-hop fields
     * @param body the body; empty for none
     * @param maxIdleMillis maximum idle time of a connection that may be reused, in milliseconds
     * @param connectTimeoutMillis timeout for opening a connection, in milliseconds
     */
    public OutgoingCall(
            HostPort target,
            String method,
            String uri,
            HeaderList headers,
            byte[] body,
            long maxIdleMillis,
            long connectTimeoutMillis) {
        this(
                target,
                method,
                uri,
                headers,
                body,
                maxIdleMillis,
                connectTimeoutMillis,
                MAX_IDLE_CONNECTIONS,
                Optional.empty());
    }
}
