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
package io.trailladder.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryBudget;
import io.trailladder.core.memory.ReservationKind;
import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.core.pipeline.EventSteps;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ServiceShare;
import io.trailladder.entry.http.AnswerOwner;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.HttpServer;
import io.trailladder.entry.http.ServerBounds;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Checks that no more is reserved than the memory budget, however much one turn of the event loop
 * reads. Callers read nothing, and the ends of answers that were decided run between turns.
 */
class MemoryBoundTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long LONG_MILLIS = 60_000;
    private static final long BUDGET = 8L << 20;
    private static final int CALLERS = 40;

    /** Turns of the event loop, which together bring more than the socket buffers hold. */
    private static final int TURNS = 200;

    /** Bytes that one read of a socket brings at most. */
    private static final int READ_BYTES = 64 * 1024;

    private static final int RECEIVE_BYTES = 4 * 1024;
    private static final HeaderList EVENT_STREAM =
            HeaderList.of("Content-Type", "text/event-stream");

    private final BlockingQueue<ServerExchange> requests = new LinkedBlockingQueue<>();
    private final List<Socket> callers = new ArrayList<>();
    private final MemoryAccount account = new MemoryAccount(new MemoryBudget(BUDGET));
    private EventLoop loop;
    private MemoryManager manager;
    private HttpServer server;

    @BeforeTry
    void start() throws IOException {
        loop = new EventLoop();
        manager =
                new MemoryManager(
                        account,
                        new MemoryMetrics(new PrometheusRegistry()),
                        loop::nowMillis,
                        loop::execute);
        server =
                new HttpServer(
                        loop, new ServerBounds(1_000, LONG_MILLIS, LONG_MILLIS), requests::add);
        server.memory(account, manager);
        manager.unreadAnswers(server::unreadAnswers);
        server.start(new HostPort("127.0.0.1", 0));
        loop.start();
    }

    @AfterTry
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        loop.close();
    }

    /** Guards against answers that pass the budget in one turn of the event loop. */
    @Example
    void bodiesReadInOneTurnKeepToTheBudget() throws Exception {
        assertBounded(false, "x".repeat(READ_BYTES));
    }

    /** Guards against streams that pass the budget in one turn of the event loop. */
    @Example
    void eventsReadInOneTurnKeepToTheBudget() throws Exception {
        assertBounded(true, "data: " + "x".repeat(READ_BYTES - 8) + "\n\n");
    }

    /** Guards against incomplete events that pass the budget in one turn of the event loop. */
    @Example
    void incompleteEventsReadInOneTurnKeepToTheBudget() throws Exception {
        assertBounded(true, "x".repeat(READ_BYTES));
    }

    /** Guards against requests that are accepted although the budget is used up. */
    @Example
    void requestsKeepToTheBudget() throws Exception {
        onLoop(() -> reserve(BUDGET - 1));
        try (Socket caller = caller()) {
            byte[] begin = caller.getInputStream().readNBytes(12);
            assertEquals("HTTP/1.1 503", new String(begin, StandardCharsets.ISO_8859_1));
        }
        assertEquals(BUDGET - 1, onLoop(account::peak));
    }

    private boolean reserve(long bytes) {
        account.open(ReservationKind.ANSWERS_PARSED).set(bytes);
        return true;
    }

    private void assertBounded(boolean stream, String read) throws Exception {
        List<AnswerRelay> relays = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            callers.add(caller());
            ServerExchange exchange = requests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            relays.add(onLoop(() -> relay(exchange, stream)));
        }
        byte[] bytes = read.getBytes(StandardCharsets.ISO_8859_1);
        for (int turn = 0; turn < TURNS; turn++) {
            onLoop(() -> readAll(relays, bytes));
            long peak = onLoop(account::peak);
            int last = turn;
            assertTrue(peak <= BUDGET, () -> peak + " bytes reserved in turn " + last);
        }
        assertTrue(onLoop(account::peak) > BUDGET / 2, "the budget was not approached");
    }

    private AnswerRelay relay(ServerExchange exchange, boolean stream) {
        AttemptHistory history = new AttemptHistory();
        StreamOrder order =
                new StreamOrder(new GatewayMetrics(), new EventSteps(), request(), history);
        AnswerRelay relay = new AnswerRelay(manager, exchange, history, stream, order, () -> {});
        exchange.answerOwner(new AnswerOwner("id", "one", stream));
        relay.head(200, stream ? EVENT_STREAM : HeaderList.EMPTY, -1);
        return relay;
    }

    private static ServingRequest request() {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteKind.STREAMING,
                        LONG_MILLIS,
                        LONG_MILLIS,
                        0,
                        List.of(new ServiceShare("s", 1)),
                        1,
                        false,
                        false,
                        false);
        return new ServingRequest("id", "one", route, "s", 0, Prompt.NONE, 0, 0, LONG_MILLIS, 1);
    }

    private static boolean readAll(List<AnswerRelay> relays, byte[] bytes) {
        for (AnswerRelay relay : relays) {
            if (relay.excess().isEmpty()) {
                relay.body(bytes, () -> {});
            }
        }
        return true;
    }

    private Socket caller() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BYTES);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        byte[] request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(request);
        return socket;
    }

    private <T> T onLoop(Supplier<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(task.get()));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
