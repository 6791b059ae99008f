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
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against truncated answers that look complete, and against requests reported as unsent that
 * may have run.
 */
class HttpConnectorTest {
    private static final long PATIENCE_SECONDS = 10;
    private static final long REST_MILLIS = 60_000;

    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private volatile boolean wanted = true;
    private EventLoop loop;
    private HttpConnector connector;
    private ServerSocket listener;

    /** Records the events of a call as one line. */
    private final class Recorder implements CallListener {
        private final StringBuilder body = new StringBuilder();
        private int status;
        private boolean sent;

        @Override
        public boolean isWanted() {
            return wanted;
        }

        @Override
        public void sending() {
            sent = true;
        }

        @Override
        public void head(int answered, HeaderList headers, long length) {
            status = answered;
        }

        @Override
        public void body(byte[] bytes) {
            body.append(new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void ended() {
            results.add(status + " " + body);
        }

        @Override
        public void endedUnframed() {
            results.add(status + " " + body + " unframed");
        }

        @Override
        public void failed(CallFailure failure) {
            results.add(failure + (sent ? " sent" : " unsent"));
        }
    }

    @BeforeTry
    void start() throws IOException {
        loop = new EventLoop();
        connector = new HttpConnector(loop);
        loop.start();
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
    }

    @AfterTry
    void stop() throws IOException {
        listener.close();
        loop.close();
    }

    private void call(String uri) {
        HostPort target = new HostPort("127.0.0.1", listener.getLocalPort());
        HeaderList headers = HeaderList.of("Host", target.toString());
        OutgoingCall call =
                new OutgoingCall(target, "GET", uri, headers, new byte[0], REST_MILLIS, 5_000);
        loop.execute(() -> connector.send(call, new Recorder()));
    }

    private RawSocket accept(String uri) throws IOException {
        RawSocket server = new RawSocket(listener.accept());
        assertTrue(server.readUntil("\r\n\r\n").startsWith("GET " + uri + " "));
        return server;
    }

    private String result() throws InterruptedException {
        return results.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    private static void assertEnded(RawSocket server) throws IOException {
        try (server) {
            assertEquals("", server.readAll());
        } catch (SocketException e) {
            // a reset ends a connection as well
        }
    }

    /**
     * Guards against idle connections that keep a server with few connections from accepting
     * others.
     */
    @Example
    void idleConnectionsStayWithinTheLimit() throws Exception {
        HostPort target = new HostPort("127.0.0.1", listener.getLocalPort());
        HeaderList headers = HeaderList.of("Host", target.toString());
        List<RawSocket> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            OutgoingCall call =
                    new OutgoingCall(
                            target,
                            "GET",
                            "/" + i,
                            headers,
                            new byte[0],
                            REST_MILLIS,
                            5_000,
                            2,
                            Optional.empty());
            loop.execute(() -> connector.send(call, new Recorder()));
            servers.add(accept("/" + i));
        }
        for (RawSocket server : servers) {
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
            assertEquals("200 a", result());
        }
        for (RawSocket beyond : servers.subList(0, 4)) {
            assertEnded(beyond);
        }
        call("/kept");
        assertTrue(servers.get(5).readUntil("\r\n\r\n").startsWith("GET /kept "));
        servers.get(4).close();
        servers.get(5).close();
    }

    /**
     * Guards against a request sent while the server closes the connection, which may or may not
     * have run.
     */
    @Example
    void connectionIsNotReusedAfterItsServersKeepAliveTime() throws Exception {
        call("/first");
        RawSocket first = accept("/first");
        first.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n");
        assertEquals("200 ", result());
        call("/second");
        RawSocket second = accept("/second");
        second.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=60\r\n\r\n");
        assertEquals("200 ", result());
        call("/third");
        assertTrue(second.readUntil("\r\n\r\n").startsWith("GET /third "));
    }

    /**
     * Guards against any byte of such a call arriving, also on a connection reused from another
     * call.
     */
    @Example
    void callThatIsNoLongerWantedSendsNothing() throws Exception {
        call("/kept");
        RawSocket server = accept("/kept");
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals("200 ", result());
        wanted = false;
        call("/kept");
        assertEquals("WITHHELD unsent", result());
        assertEquals("", server.readAll());
        call("/new");
        assertEquals("WITHHELD unsent", result());
        assertEquals("", new RawSocket(listener.accept()).readAll());
    }

    @Example
    void answerWithoutLengthThatIsClosedIsNotTakenAsComplete() throws Exception {
        call("/x");
        try (RawSocket server = accept("/x")) {
            server.send("HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc");
        }
        assertEquals("200 abc unframed", result());
    }

    @Example
    void answerWithoutLengthThatIsResetIsIncomplete() throws Exception {
        call("/x");
        RawSocket server = accept("/x");
        server.send("HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc");
        server.reset();
        assertEquals("BROKEN sent", result());
    }

    @Example
    void answerShorterThanItsLengthIsIncomplete() throws Exception {
        call("/x");
        try (RawSocket server = accept("/x")) {
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
        }
        assertEquals("BROKEN sent", result());
    }

    @Example
    void chunksWithoutEndAreIncomplete() throws Exception {
        call("/x");
        try (RawSocket server = accept("/x")) {
            server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        }
        assertEquals("BROKEN sent", result());
    }

    @Example
    void malformedAnswerFailsTheCall() throws Exception {
        call("/x");
        try (RawSocket server = accept("/x")) {
            server.send("garbage bytes\r\n\r\n");
            assertEquals("BROKEN sent", result());
        }
    }

    @Example
    void refusedConnectionIsKnownToBeUnsent() throws Exception {
        int port = listener.getLocalPort();
        listener.close();
        assertTrue(port > 0);
        call("/x");
        assertEquals("UNREACHABLE unsent", result());
    }

    @Example
    void idleConnectionIsReused() throws Exception {
        call("/1");
        try (RawSocket server = accept("/1")) {
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
            assertEquals("200 a", result());
            call("/2");
            assertTrue(server.readUntil("\r\n\r\n").startsWith("GET /2 "));
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
            assertEquals("200 b", result());
        }
    }

    @Example
    void surplusAnswerIsNeverTakenForTheNextOne() throws Exception {
        call("/1");
        try (RawSocket server = accept("/1")) {
            server.send(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                            + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfooled");
            assertEquals("200 a", result());
            call("/2");
            try (RawSocket next = accept("/2")) {
                next.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
                assertEquals("200 b", result());
            }
        }
    }

    @Example
    void connectionThatTheServerClosesIsNotUsedAgain() throws Exception {
        call("/1");
        try (RawSocket server = accept("/1")) {
            server.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na");
            assertEquals("200 a", result());
            call("/2");
            try (RawSocket next = accept("/2")) {
                next.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
                assertEquals("200 b", result());
            }
        }
    }

    @Example
    void callThatIsCancelledBeforeItsConnectionIsOpenSendsNothing() throws Exception {
        HostPort target = new HostPort("127.0.0.1", listener.getLocalPort());
        OutgoingCall call =
                new OutgoingCall(
                        target,
                        "GET",
                        "/x",
                        HeaderList.of("Host", target.toString()),
                        new byte[0],
                        REST_MILLIS,
                        5_000);
        loop.execute(() -> connector.send(call, new Recorder()).cancel());
        try (Socket server = listener.accept()) {
            server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
            assertEquals(-1, readOrReset(server), "a byte arrived");
        }
        assertTrue(results.isEmpty(), results.toString());
    }

    /** Returns the next byte; -1 if the connection has ended instead. */
    private static int readOrReset(Socket server) throws IOException {
        try {
            return server.getInputStream().read();
        } catch (SocketException e) {
            return -1;
        }
    }

    @Example
    void idleConnectionsAreNotReusedAfterTheyAreClosed() throws Exception {
        call("/1");
        RawSocket first = accept("/1");
        first.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
        assertEquals("200 a", result());
        HostPort target = new HostPort("127.0.0.1", listener.getLocalPort());
        loop.execute(() -> connector.closeIdle(target));
        call("/2");
        try (RawSocket second = accept("/2")) {
            second.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
            assertEquals("200 b", result());
        }
        first.close();
    }
}
