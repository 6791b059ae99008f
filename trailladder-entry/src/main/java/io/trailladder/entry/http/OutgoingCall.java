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

/**
 * A request to an HTTP server.
 *
 * @param target the server
 * @param method HTTP method
 * @param uri path with query, sent as it is
 * @param headers header fields with the host, without those that concern the connection
 * @param body the body; empty for none
 * @param maxIdleMillis longest rest of a kept connection that may be used, in milliseconds; 0 for a
 *     new connection
 * @param connectTimeoutMillis longest time for a new connection, in milliseconds
 * @param maxIdleConnections how many connections to the server may rest between calls
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
        int maxIdleConnections) {
    /** Connections to a server that may rest, where it does not share them out. */
    public static final int MAX_IDLE_CONNECTIONS = 64;

    /**
     * Creates a call to a server that accepts as many connections as are opened.
     *
     * @param target the server
     * @param method HTTP method
     * @param uri path with query, sent as it is
     * @param headers header fields with the host, without those that concern the connection
     * @param body the body; empty for none
     * @param maxRestMillis longest rest of a kept connection that may be used, in milliseconds
     * @param connectMillis longest time for a new connection, in milliseconds
     */
    public OutgoingCall(
            HostPort target,
            String method,
            String uri,
            HeaderList headers,
            byte[] body,
            long maxRestMillis,
            long connectMillis) {
        this(target, method, uri, headers, body, maxRestMillis, connectMillis, MAX_IDLE_CONNECTIONS);
    }
}
