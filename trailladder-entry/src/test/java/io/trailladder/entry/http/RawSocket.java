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

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller or server that sends exactly the bytes given by a test, over the loopback interface. */
final class RawSocket implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    RawSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MILLIS);
    }

    static RawSocket to(int port) throws IOException {
        return new RawSocket(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /** Connects from another address of the loopback interface. */
    static RawSocket from(String address, int port) throws IOException {
        InetAddress source = InetAddress.getByName(address);
        return new RawSocket(new Socket(InetAddress.getLoopbackAddress(), port, source, 0));
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads until the bytes read contain a text. */
    String readUntil(String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (text.indexOf(end) < 0) {
            int read = in.read();
            if (read < 0) {
                throw new IOException("ended after: " + text);
            }
            text.append((char) read);
        }
        return text.toString();
    }

    /** Reads to the end of the connection. */
    String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Ends the connection with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
