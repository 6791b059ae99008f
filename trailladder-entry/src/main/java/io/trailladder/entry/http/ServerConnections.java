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

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The callers' connections of a server, inside a bound, so that connections that callers keep do
 * not use up the descriptors that serving needs.
 */
final class ServerConnections {
    /**
     * Part of the bound that is closed when it is reached, so that the search for whom to close is
     * made once for many new connections.
     */
    private static final int CLOSED_DIVISOR = 32;

    private final Set<ServerConnection> all = new HashSet<>();
    private int maxConnections = Integer.MAX_VALUE;

    void maxConnections(int most) {
        maxConnections = most;
    }

    /**
     * Adds a connection. Above the bound, connections without a request are closed: of the caller
     * that keeps most of them, those first that have rested longest.
     *
     * @return false if all others have requests, so that there is no room for it
     */
    boolean add(ServerConnection connection) {
        if (all.size() >= maxConnections && !closeIdle()) {
            return false;
        }
        all.add(connection);
        return true;
    }

    void remove(ServerConnection connection) {
        all.remove(connection);
    }

    List<ServerConnection> copy() {
        return List.copyOf(all);
    }

    private boolean closeIdle() {
        List<ServerConnection> kept = idleOfLargestCaller();
        kept.sort(Comparator.comparingLong(ServerConnection::idleOrder));
        int count = Math.min(kept.size(), Math.max(1, maxConnections / CLOSED_DIVISOR));
        for (ServerConnection connection : kept.subList(0, count)) {
            all.remove(connection);
            connection.close();
        }
        return count > 0;
    }

    /** Returns the connections without a request of the caller that keeps most. */
    private List<ServerConnection> idleOfLargestCaller() {
        Map<InetAddress, List<ServerConnection>> byCaller = new HashMap<>();
        List<ServerConnection> most = new ArrayList<>();
        for (ServerConnection connection : all) {
            if (connection.isIdle()) {
                InetSocketAddress caller =
                        (InetSocketAddress) connection.connection().getPeerAddress();
                List<ServerConnection> kept =
                        byCaller.computeIfAbsent(caller.getAddress(), address -> new ArrayList<>());
                kept.add(connection);
                most = kept.size() > most.size() ? kept : most;
            }
        }
        return most;
    }
}
