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
 * The callers' connections of a server. Their number is limited, so that idle connections do not
 * use up the file descriptors that are needed to serve requests.
 */
final class ServerConnections {
    /**
     * Divisor of the limit for the number of connections closed when the limit is reached, so that
     * one search for connections to close makes capacity for many new ones.
     */
    private static final int CLOSED_DIVISOR = 32;

    private final Set<ServerConnection> all = new HashSet<>();
    private int maxConnections = Integer.MAX_VALUE;

    void maxConnections(int limit) {
        maxConnections = limit;
    }

    /**
     * Adds a connection. At the limit, closes idle connections of the caller that has most of them,
     * the longest idle first.
     *
     * @return false if the limit is reached and all connections have requests
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
        List<ServerConnection> idle = idleOfLargestCaller();
        idle.sort(Comparator.comparingLong(ServerConnection::idleOrder));
        int count = Math.min(idle.size(), Math.max(1, maxConnections / CLOSED_DIVISOR));
        for (ServerConnection connection : idle.subList(0, count)) {
            all.remove(connection);
            connection.close();
        }
        return count > 0;
    }

    /** Returns the idle connections of the caller that has most of them. */
    private List<ServerConnection> idleOfLargestCaller() {
        Map<InetAddress, List<ServerConnection>> byCaller = new HashMap<>();
        List<ServerConnection> largest = new ArrayList<>();
        for (ServerConnection connection : all) {
            if (connection.isIdle()) {
                InetSocketAddress caller =
                        (InetSocketAddress) connection.connection().getPeerAddress();
                List<ServerConnection> idle =
                        byCaller.computeIfAbsent(caller.getAddress(), address -> new ArrayList<>());
                idle.add(connection);
                largest = idle.size() > largest.size() ? idle : largest;
            }
        }
        return largest;
    }
}
