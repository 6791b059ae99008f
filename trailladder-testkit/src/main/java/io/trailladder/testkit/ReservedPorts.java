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
package io.trailladder.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports of the loopback address for servers that must be told where to listen.
 *
 * <p>Each port is held by a socket that is bound and does not listen. While it is held, the system
 * gives the port neither to an outgoing connection nor to anybody who asks for any free one; a
 * server that may reuse addresses can listen at it, also again after it was killed. Only a process
 * that names the port can still take it, against which {@link #start} tries other ports. Linux
 * behaves so.
 *
 * @since 0.2
 */
public final class ReservedPorts implements AutoCloseable {
    /** How often others may take a port by its name until a start fails. */
    private static final int TRIES = 5;

    private final List<Socket> held = new ArrayList<>();

    /**
     * Starts something at ports that it is told.
     *
     * @param <T> what is started
     */
    @FunctionalInterface
    public interface Starter<T> {
        /**
         * Starts, and listens at the ports before it returns.
         *
         * @param ports numbers of ports of 127.0.0.1
         * @return what was started
         * @throws IOException if it cannot listen; a {@link BindException} if a port is taken,
         *     after which nothing that was started may be left
         */
        T start(List<Integer> ports) throws IOException;
    }

    /**
     * Starts something at ports that are free, at other ones if somebody takes one meanwhile.
     *
     * @param count how many ports it needs
     * @param starter starts it
     * @return what was started
     * @throws IOException if it failed otherwise, or time and again
     */
    public static <T> T start(int count, Starter<T> starter) throws IOException {
        for (int tries = 1; ; tries++) {
            try (ReservedPorts ports = new ReservedPorts()) {
                return starter.start(ports.reserve(count));
            } catch (BindException e) {
                if (tries == TRIES) {
                    throw e;
                }
            }
        }
    }

    /**
     * Reserves a port until this is closed.
     *
     * @return its number
     * @throws IOException if none is free
     */
    public int reserve() throws IOException {
        Socket socket = new Socket();
        held.add(socket);
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket.getLocalPort();
    }

    private List<Integer> reserve(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            ports.add(reserve());
        }
        return ports;
    }

    /** Lets go of all ports; servers that listen at them are not touched. */
    @Override
    public void close() {
        try {
            for (Socket socket : held) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
