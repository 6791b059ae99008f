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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against request bodies that a server does not read being left uncounted, or counted for
 * too long.
 */
class SlowUpstreamTest {
    private static final long PATIENCE_SECONDS = 20;
    private static final int RECEIVE_BYTES = 4 * 1024;
    private static final long REST_MILLIS = 60_000;

    /** More bytes than the socket buffers of both ends hold. */
    private static final int LARGE = 24 << 20;

    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private HttpConnector connector;
    private ServerSocket listener;
    private HostPort target;

    /** Records how a call ended. */
    private final class Recorder implements CallListener {
        private int status;

        @Override
        public void head(int answered, HeaderList headers, long length) {
            status = answered;
        }

        @Override
        public void body(byte[] bytes) {}

        @Override
        public void ended() {
            results.add("ended " + status);
        }

        @Override
        public void endedUnframed() {
            results.add("ended unframed " + status);
        }

        @Override
        public void failed(CallFailure failure) {
            results.add(failure.name());
        }
    }

    @BeforeTry
    void start() throws IOException {
        loop = new EventLoop();
        connector = new HttpConnector(loop);
        loop.start();
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        target = new HostPort("127.0.0.1", listener.getLocalPort());
    }

    @AfterTry
    void stop() throws IOException {
        listener.close();
        loop.close();
    }

    @Example
    void bodyThatIsWrittenIsNotCounted() throws Exception {
        onLoop(() -> post(100));
        try (RawSocket server = new RawSocket(listener.accept())) {
            server.readUntil("\r\n\r\n");
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals("ended 200", result());
            assertFalse(onLoop(connector::hasUnwritten));
        }
    }

    @Example
    void unwrittenBodyCountsUntilTheCallIsCancelled() throws Exception {
        ClientCall call = onLoop(() -> post(LARGE));
        try (RawSocket server = new RawSocket(listener.accept())) {
            server.readUntil("\r\n\r\n");
            ClientCall other = onLoop(() -> post(LARGE));
            awaitUnwritten(2L * LARGE);
            onLoop(() -> cancel(call));
            awaitUnwritten(LARGE);
            onLoop(() -> cancel(other));
            awaitUnwritten(0);
            assertTrue(results.isEmpty());
        }
    }

    @Example
    void answerBeforeTheBodyIsReadReleasesTheRestOfIt() throws Exception {
        onLoop(() -> post(LARGE));
        try (RawSocket server = new RawSocket(listener.accept())) {
            server.readUntil("\r\n\r\n");
            awaitUnwritten(LARGE);
            server.send("HTTP/1.1 413 Too large\r\nContent-Length: 0\r\n\r\n");
            assertEquals("ended 413", result());
            awaitUnwritten(0);
        }
    }

    @Example
    void disconnectOfTheServerWhileItReadsFailsTheCall() throws Exception {
        onLoop(() -> post(LARGE));
        try (RawSocket server = new RawSocket(listener.accept())) {
            server.readUntil("\r\n\r\n");
            awaitUnwritten(LARGE);
            server.reset();
        }
        assertEquals("BROKEN", result());
        awaitUnwritten(0);
    }

    private ClientCall post(int bytes) {
        HeaderList headers = HeaderList.of("Host", target.toString());
        OutgoingCall call =
                new OutgoingCall(
                        target, "POST", "/x", headers, new byte[bytes], REST_MILLIS, 5_000);
        return connector.send(call, new Recorder());
    }

    private static boolean cancel(ClientCall call) {
        call.cancel();
        return true;
    }

    private void awaitUnwritten(long bytes) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (onLoop(() -> connector.unwrittenBytes(target)) != bytes) {
            assertTrue(System.nanoTime() < end, "not " + bytes + " bytes");
            Thread.sleep(20);
        }
    }

    private String result() throws InterruptedException {
        return results.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Supplier<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(task.get()));
        return result.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
}
