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

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Calls to servers that send bytes without end. */
class EndlessServerTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final long CALL_TIMEOUT_MILLIS = 60_000;
    private static final Logger LIBRARY = Logger.getLogger("org.glassfish.grizzly");

    /** More than any answer of the store or a peer, in pieces. */
    private static final int PIECES = 64;

    private static final String PIECE = "x".repeat(1 << 20);

    private final Queue<Throwable> logged = new ConcurrentLinkedQueue<>();
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private final Handler handler = new ThrowableHandler();
    private EventLoop loop;
    private JsonCalls calls;
    private ServerSocket listener;

    /** Keeps what the HTTP library logs with a stack trace. */
    private final class ThrowableHandler extends Handler {
        @Override
        public void publish(LogRecord line) {
            if (line.getThrown() != null) {
                logged.add(line.getThrown());
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @BeforeTry
    void start() throws IOException {
        loop = new EventLoop();
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        HostPort server = new HostPort("127.0.0.1", listener.getLocalPort());
        calls = new JsonCalls(loop, new HttpConnector(loop), server);
        loop.start();
        listener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        LIBRARY.addHandler(handler);
    }

    @AfterTry
    void stop() throws IOException {
        LIBRARY.removeHandler(handler);
        listener.close();
        loop.close();
    }

    private String answered(String start) throws Exception {
        loop.execute(
                () ->
                        calls.get(
                                "/",
                                CALL_TIMEOUT_MILLIS,
                                reply -> results.add("status " + reply.status())));
        try (RawSocket server = new RawSocket(listener.accept())) {
            server.readUntil("\r\n\r\n");
            server.send(start);
            for (int sent = 0; sent < PIECES; sent++) {
                server.send(PIECE);
            }
            return results.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (SocketException e) {
            return results.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Guards against stack traces for each server that sends no HTTP. */
    @Example
    void bytesInPlaceOfAHeadLeaveNoStackTrace() throws Exception {
        assertEquals("status 0", answered(""));
        assertEquals(0, logged.size());
    }

    /** Guards against stack traces for each server whose chunks are malformed. */
    @Example
    void malformedChunksLeaveNoStackTrace() throws Exception {
        assertEquals("status 0", answered("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        assertEquals(0, logged.size());
    }

    /** Guards against stack traces for each server that sends more than its answer. */
    @Example
    void bytesAfterAnAnswerLeaveNoStackTrace() throws Exception {
        assertEquals("status 200", answered("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(0, logged.size());
    }

    /** Guards against a body of the store or a peer that grows in memory until the time-out. */
    @Example
    void bodyWithoutEndIsNotCollected() throws Exception {
        assertEquals("status 0", answered("HTTP/1.1 200 OK\r\n\r\n"));
    }
}
