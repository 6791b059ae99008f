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
package io.trailladder.entry.relay;

/**
 * Receives what happens to relayed connections, for logs and metrics.
 *
 * @since 0.7
 */
public interface RelayObserver {
    /**
     * Called when a peer has connected this process to an upstream.
     *
     * @param requestId the request for which the connection was opened
     * @param upstream the upstream's name
     * @param peer the peer's name
     * @param afterMillis time since this process began to open a connection, in milliseconds
     */
    void reached(String requestId, String upstream, String peer, long afterMillis);

    /**
     * Called when a peer did not connect this process to an upstream.
     *
     * @param requestId the request for which the connection was to be opened
     * @param upstream the upstream's name
     * @param peer the peer's name
     * @param reason the reason
     */
    void notReached(String requestId, String upstream, String peer, RelayRefusal reason);

    /**
     * Called when this process has refused to relay a connection.
     *
     * @param requestId the request for which the connection was to be opened
     * @param upstream the upstream's name
     * @param peer the peer that asked
     * @param reason the reason
     */
    void refused(String requestId, String upstream, String peer, RelayRefusal reason);

    /**
     * Called when a connection that this process relayed has ended.
     *
     * @param requestId the request for which it was opened
     * @param upstream the upstream's name
     * @param peer the peer that used it
     * @param usage what was relayed
     */
    void relayed(String requestId, String upstream, String peer, Usage usage);

    /**
     * What a relayed connection was used for.
     *
     * @param end how it ended
     * @param millis how long it was open, in milliseconds
     * @param toUpstream number of bytes passed on to the upstream
     * @param toPeer number of bytes passed on to the peer
     */
    record Usage(RelayEnding end, long millis, long toUpstream, long toPeer) {}

    /** How a relayed connection ended. */
    enum RelayEnding {
        /** The upstream closed its connection. */
        UPSTREAM_CLOSED,
        /** The connection to the upstream broke. */
        UPSTREAM_BROKE,
        /** The peer closed its connection, because its call was over or cancelled. */
        PEER_CLOSED,
        /** The time of the request was over. */
        EXPIRED
    }
}
