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

import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryBudget;
import io.trailladder.core.memory.ReservationKind;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against truncated answers that look complete, and memory that is not released, when
 * callers read late, slowly, or not at all.
 */
class SlowCallerTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long LONG_MILLIS = 60_000;
    private static final int RECEIVE_BYTES = 4 * 1024;

    /** More bytes than the socket buffers of both ends hold. */
    private static final int LARGE = 24 << 20;

    private static final String EVENT = "id: 1\ndata: " + "x".repeat(1 << 20) + "\n\n";
    private static final String END = "\r\n0\r\n\r\n";

    private final BlockingQueue<ServerExchange> requests = new LinkedBlockingQueue<>();
    private final MemoryAccount account = new MemoryAccount(new MemoryBudget(1L << 30));
    private EventLoop loop;
    private HttpServer server;

    @BeforeTry
    void start() throws IOException {
        loop = new EventLoop();
        server =
                new HttpServer(
                        loop, new ServerBounds(1_000, LONG_MILLIS, LONG_MILLIS), requests::add);
        server.memory(account, UnreadAnswers.IDLE_ONLY);
        server.start(new HostPort("127.0.0.1", 0));
        loop.start();
    }

    @AfterTry
    void stop() throws IOException {
        loop.close();
    }

    @Example
    void readyAnswerIsDeliveredCompletelyAlsoLate() throws Exception {
        try (Socket caller = caller("Connection: close\r\n")) {
            ServerExchange exchange = next();
            onLoop(() -> respond(exchange, LARGE));
            assertTrue(onLoop(() -> account.reserved(ReservationKind.ANSWERS_WAITING)) > 0);
            onLoop(this::closeResting);
            assertEquals(
                    1, onLoop(server::open), "a connection with an unread answer counts as open");
            assertTrue(caller.getInputStream().readAllBytes().length > LARGE);
        }
        awaitEmptyAccount();
    }

    @Example
    void queuedPiecesArriveInOrderWithTheEnd() throws Exception {
        int pieces = 4_000;
        try (Socket caller = caller("Connection: close\r\n")) {
            ServerExchange exchange = next();
            onLoop(() -> begin(exchange, false));
            for (int piece = 0; piece < pieces; piece++) {
                byte[] bytes = (piece + ":" + "y".repeat(8_000) + ";").getBytes(ascii());
                onLoop(() -> write(exchange, bytes));
            }
            onLoop(() -> end(exchange));
            assertTrue(onLoop(exchange::unreadBytes) > 0);
            String answer = text(caller.getInputStream());
            assertTrue(answer.endsWith(END), "the end is missing");
            int from = 0;
            for (int piece = 0; piece < pieces; piece++) {
                from = answer.indexOf(piece + ":y", from);
                assertTrue(from >= 0, "piece " + piece + " is missing");
            }
        }
        awaitEmptyAccount();
    }

    @Example
    void nextRequestOfTheConnectionWaitsForTheAnswerToBeRead() throws Exception {
        try (Socket caller = caller("")) {
            ServerExchange exchange = next();
            onLoop(() -> respond(exchange, LARGE));
            caller.getOutputStream().write(request("Connection: close\r\n"));
            onLoop(() -> true);
            assertTrue(requests.isEmpty());
            CompletableFuture<String> answers = readAside(caller);
            ServerExchange second = next();
            onLoop(() -> respond(second, 1));
            assertTrue(answers.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).length() > LARGE);
        }
    }

    @Example
    void cutStreamEndsAtACompleteEventAndDoesNotLookComplete() throws Exception {
        CountDownLatch disconnected = new CountDownLatch(1);
        try (Socket caller = caller("")) {
            ServerExchange exchange = next();
            onLoop(() -> begin(exchange, true));
            onLoop(() -> onDisconnect(exchange, disconnected));
            for (int event = 0; event < 24; event++) {
                onLoop(() -> write(exchange, EVENT.getBytes(ascii())));
            }
            onLoop(() -> cut(exchange));
            assertTrue(
                    disconnected.await(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    "the sender was not notified");
            String answer = text(caller.getInputStream());
            assertFalse(answer.endsWith(END), "it looks complete");
            assertTrue(answer.endsWith("\n\n\r\n"), "it ends inside an event");
        }
        awaitEmptyAccount();
    }

    @Example
    void cutAnswerThatCannotBeResumedDoesNotLookComplete() throws Exception {
        try (Socket caller = caller("")) {
            ServerExchange exchange = next();
            onLoop(() -> respond(exchange, LARGE));
            onLoop(() -> cut(exchange));
            awaitEmptyAccount();
            int read = 0;
            try {
                read = caller.getInputStream().readAllBytes().length;
            } catch (IOException e) {
                assertTrue(read < LARGE, "reset before its end");
            }
            assertTrue(read < LARGE);
        }
    }

    @Example
    void cutThatComesAfterTheAnswerWasReadLeavesTheNextOneAlone() throws Exception {
        try (Socket caller = caller("")) {
            ServerExchange first = next();
            onLoop(() -> respond(first, 1));
            caller.getOutputStream().write(request("Connection: close\r\n"));
            ServerExchange second = next();
            onLoop(() -> cut(first));
            onLoop(() -> respond(second, LARGE));
            assertTrue(caller.getInputStream().readAllBytes().length > LARGE);
        }
        awaitEmptyAccount();
    }

    @Example
    void abortedAnswerStillDeliversWhatWasWrittenBefore() throws Exception {
        try (Socket caller = caller("")) {
            ServerExchange exchange = next();
            onLoop(() -> begin(exchange, false));
            for (int event = 0; event < 24; event++) {
                onLoop(() -> write(exchange, EVENT.getBytes(ascii())));
            }
            onLoop(() -> abort(exchange));
            String answer = text(caller.getInputStream());
            assertTrue(answer.length() > 24 * EVENT.length(), "events are missing");
            assertFalse(answer.endsWith(END), "it looks complete");
        }
        awaitEmptyAccount();
    }

    @Example
    void disconnectOfTheCallerReleasesTheReservedMemory() throws Exception {
        try (Socket caller = caller("")) {
            ServerExchange exchange = next();
            onLoop(() -> respond(exchange, LARGE));
            assertTrue(onLoop(account::total) > 0);
            caller.setSoLinger(true, 0);
        }
        awaitEmptyAccount();
    }

    @Example
    void callerThatReadsNothingForTheIdleLimitIsEnded() throws Exception {
        try (Socket caller = caller("")) {
            ServerExchange exchange = next();
            onLoop(() -> respond(exchange, LARGE));
            onLoop(() -> bounds(200));
            awaitEmptyAccount();
            assertTrue(onLoop(exchange::isCut));
            assertTrue(caller.isConnected());
        }
    }

    private void awaitEmptyAccount() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (onLoop(account::total) != 0) {
            assertTrue(System.nanoTime() < end, () -> "still reserved: " + account.total());
            Thread.sleep(20);
        }
    }

    private static byte[] request(String fields) {
        return ("GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n").getBytes(ascii());
    }

    /** Sends a request over a socket with a small receive buffer. */
    private Socket caller(String fields) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BYTES);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        socket.getOutputStream().write(request(fields));
        return socket;
    }

    private ServerExchange next() throws InterruptedException {
        ServerExchange exchange = requests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(exchange != null, "no request came");
        return exchange;
    }

    private <T> T onLoop(Supplier<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(task.get()));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static boolean respond(ServerExchange exchange, int bytes) {
        exchange.respond(200, HeaderList.EMPTY, new byte[bytes]);
        return true;
    }

    private static boolean begin(ServerExchange exchange, boolean resumable) {
        exchange.answerOwner(new AnswerOwner("id", "one", resumable));
        exchange.begin(200, HeaderList.EMPTY, -1);
        return true;
    }

    private static boolean write(ServerExchange exchange, byte[] bytes) {
        exchange.write(bytes);
        return true;
    }

    private static boolean end(ServerExchange exchange) {
        exchange.end();
        return true;
    }

    private static boolean abort(ServerExchange exchange) {
        exchange.abort();
        return true;
    }

    private static boolean cut(ServerExchange exchange) {
        exchange.cut();
        return true;
    }

    private static boolean onDisconnect(ServerExchange exchange, CountDownLatch disconnected) {
        exchange.onDisconnect(disconnected::countDown);
        return true;
    }

    private boolean bounds(long idleMillis) {
        server.bounds(new ServerBounds(1_000, LONG_MILLIS, idleMillis));
        return true;
    }

    private boolean closeResting() {
        server.closeIdle();
        return true;
    }

    private static CompletableFuture<String> readAside(Socket caller) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return text(caller.getInputStream());
                    } catch (IOException e) {
                        return "";
                    }
                });
    }

    private static String text(InputStream in) throws IOException {
        return new String(in.readAllBytes(), ascii());
    }

    private static Charset ascii() {
        return StandardCharsets.ISO_8859_1;
    }
}
