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
    private static final int CLOSED_PART = 32;

    private final Set<ServerConnection> all = new HashSet<>();
    private int bound = Integer.MAX_VALUE;

    void bound(int most) {
        bound = most;
    }

    /**
     * Adds a connection. Above the bound, connections without a request are closed: of the caller
     * that keeps most of them, those first that have rested longest.
     *
     * @return false if all others have requests, so that there is no room for it
     */
    boolean add(ServerConnection connection) {
        if (all.size() >= bound && !closeKept()) {
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

    private boolean closeKept() {
        List<ServerConnection> kept = keptOfOneCaller();
        kept.sort(Comparator.comparingLong(ServerConnection::restingOrder));
        int count = Math.min(kept.size(), Math.max(1, bound / CLOSED_PART));
        for (ServerConnection connection : kept.subList(0, count)) {
            all.remove(connection);
            connection.close();
        }
        return count > 0;
    }

    /** Returns the connections without a request of the caller that keeps most. */
    private List<ServerConnection> keptOfOneCaller() {
        Map<InetAddress, List<ServerConnection>> byCaller = new HashMap<>();
        List<ServerConnection> most = new ArrayList<>();
        for (ServerConnection connection : all) {
            if (connection.isResting()) {
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
