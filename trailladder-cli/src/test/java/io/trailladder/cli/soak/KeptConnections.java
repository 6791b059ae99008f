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
package io.trailladder.cli.soak;

import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.HashMap;
import java.util.Map;

/** The connections that a caller keeps open, one to each gateway. */
final class KeptConnections {
    private final int connectMillis;
    private final int readMillis;
    private final Map<HostPort, Socket> kept = new HashMap<>();

    KeptConnections(int connectMillis, int readMillis) {
        this.connectMillis = connectMillis;
        this.readMillis = readMillis;
    }

    /** Returns the connection that is kept, or a new one. */
    Socket connection(HostPort gateway) throws IOException {
        Socket known = kept.get(gateway);
        if (known != null) {
            return known;
        }
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(gateway.host(), gateway.port()), connectMillis);
            socket.setSoTimeout(readMillis);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        kept.put(gateway, socket);
        return socket;
    }

    /** Does the same, but replaces a connection that the gateway has closed. */
    Socket openConnection(HostPort gateway) throws IOException {
        Socket known = kept.get(gateway);
        if (known != null && !isOpen(known)) {
            drop(gateway);
        }
        return connection(gateway);
    }

    private boolean isOpen(Socket socket) {
        try {
            socket.setSoTimeout(1);
            socket.getInputStream().read();
            return false; // an end, or bytes that no request asked for
        } catch (SocketTimeoutException e) {
            return restoreTimeout(socket);
        } catch (IOException e) {
            return false;
        }
    }

    private boolean restoreTimeout(Socket socket) {
        try {
            socket.setSoTimeout(readMillis);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes the connection to a gateway, if one is kept. */
    void drop(HostPort gateway) {
        Socket socket = kept.remove(gateway);
        if (socket != null) {
            close(socket);
        }
    }

    /** Closes all connections. */
    void close() {
        kept.values().forEach(KeptConnections::close);
        kept.clear();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed already
        }
    }
}
