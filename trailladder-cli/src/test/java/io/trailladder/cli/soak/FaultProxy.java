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
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A loopback proxy that can delay, reset, silence or cut what passes through it. */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long DELAY_MILLIS = 120;
    private static final long HELD_CHECK_MILLIS = 10;

    private final HostPort target;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    /** What becomes of bytes. */
    enum Mode {
        /** They pass. */
        PASS,
        /** They pass later. */
        DELAY,
        /** Neither way anything passes; connections stay open. */
        SILENT,
        /** Requests pass, answers do not. */
        NO_ANSWERS,
        /** Connections are reset, new ones as well. */
        RESET
    }

    FaultProxy(HostPort target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    void mode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            open.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(FaultProxy::reset);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket caller = server.accept();
                if (mode == Mode.RESET) {
                    reset(caller);
                    continue;
                }
                Socket callee = new Socket(target.host(), target.port());
                open.add(caller);
                open.add(callee);
                daemon(() -> pump(caller, callee, false));
                daemon(() -> pump(callee, caller, true));
            } catch (IOException e) {
                // closed, or the target is not there: the caller sees its connection end
            }
        }
    }

    private void pump(Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                hold(answers);
                out.write(buffer, 0, count);
            }
            hold(answers);
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        }
    }

    private void hold(boolean answers) throws IOException {
        if (mode == Mode.DELAY) {
            pause(DELAY_MILLIS);
        }
        while (mode == Mode.SILENT || (answers && mode == Mode.NO_ANSWERS)) {
            if (server.isClosed()) {
                throw new IOException("closed");
            }
            pause(HELD_CHECK_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // it is closed already
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
