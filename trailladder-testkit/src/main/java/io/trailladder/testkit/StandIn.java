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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.strategies.WorkerThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * The base of all stand-ins: an HTTP server with fault switches.
 *
 * <p>{@code POST /fault?mode=MODE&count=N&millis=M&after=K} makes the next {@code N} requests meet
 * the fault; {@code POST /die} ends the stand-in.
 *
 * @since 0.1
 */
public abstract class StandIn implements AutoCloseable {
    /** Reads and writes JSON. */
    protected static final ObjectMapper JSON = new ObjectMapper();

    /** Stands for no fault. */
    protected static final Fault NO_FAULT = new Fault("none", 0, 0, 0);

    /** Runs timed work. */
    protected final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(StandIn::daemon);

    private static final int POOL_THREADS = 64;

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final CountDownLatch closed = new CountDownLatch(1);
    private Fault fault = NO_FAULT;

    /**
     * A switched fault.
     *
     * @param mode what goes wrong
     * @param count how many requests still meet it
     * @param millis how long it lasts, for slow ones
     * @param after after how many tokens or bytes it strikes
     */
    public record Fault(String mode, int count, int millis, int after) {}

    /**
     * Creates a stand-in.
     *
     * @param host the address to listen on
     * @param port the port; 0 for any
     */
    protected StandIn(String host, int port) {
        listener = new NetworkListener("stand-in", host, port);
        // answers on the upstream's own thread: a response that is suspended and resumed before the
        // handler returns may be recycled under the request
        listener.getTransport().setIOStrategy(WorkerThreadIOStrategy.getInstance());
        listener.getTransport()
                .setWorkerThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("stand-in")
                                .setDaemon(true)
                                .setCorePoolSize(POOL_THREADS)
                                .setMaxPoolSize(POOL_THREADS));
        server.addListener(listener);
        server.getServerConfiguration()
                .addHttpHandler(
                        new HttpHandler() {
                            @Override
                            public void service(Request request, Response response) {
                                answer(request, response);
                            }
                        },
                        "/");
    }

    /**
     * Starts listening.
     *
     * @throws IOException if the port is taken
     */
    public void start() throws IOException {
        server.start();
    }

    /**
     * Returns where the stand-in listens.
     *
     * @return host and port
     */
    public String address() {
        return listener.getHost() + ":" + listener.getPort();
    }

    /**
     * Switches a fault.
     *
     * @param next the fault
     */
    public synchronized void fault(Fault next) {
        fault = next;
    }

    @Override
    public void close() {
        server.shutdownNow();
        timer.shutdownNow();
        closed.countDown();
    }

    /**
     * Answers a request. A response that is finished later is suspended here first.
     *
     * @param request the request
     * @param response the response
     * @throws IOException if the connection breaks
     */
    protected abstract void handle(Request request, Response response) throws IOException;

    /**
     * Waits until the stand-in was closed.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }

    /**
     * Takes the next strike of the switched fault.
     *
     * @return the fault, mode {@code none} if none is switched
     */
    protected synchronized Fault strike() {
        if (fault.count() <= 0) {
            return NO_FAULT;
        }
        fault = new Fault(fault.mode(), fault.count() - 1, fault.millis(), fault.after());
        return fault;
    }

    /**
     * Breaks a request's connection.
     *
     * @param request the request
     */
    protected static void cut(Request request) {
        request.getRequest().getConnection().closeSilently();
    }

    /**
     * Reads a request's body as JSON.
     *
     * @param request the request
     * @return the body
     * @throws IOException if it is none
     */
    protected static JsonNode json(Request request) throws IOException {
        return JSON.readTree(request.getInputStream());
    }

    /**
     * Writes JSON as the whole answer.
     *
     * @param response the response
     * @param status HTTP status
     * @param node the answer
     * @throws IOException if the connection breaks
     */
    protected static void write(Response response, int status, JsonNode node) throws IOException {
        byte[] bytes = node.toString().getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.setContentType("application/json");
        response.setContentLength(bytes.length);
        response.getOutputStream().write(bytes);
    }

    /**
     * Sleeps.
     *
     * @param millis how long
     */
    protected static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Request request, Response response) {
        try {
            if (request.getRequestURI().equals("/die")) {
                new Thread(this::close, "die").start();
            } else if (request.getRequestURI().equals("/fault")) {
                fault(
                        new Fault(
                                request.getParameter("mode"),
                                number(request, "count", 1),
                                number(request, "millis", 0),
                                number(request, "after", 0)));
            } else {
                handle(request, response);
            }
        } catch (IOException | RuntimeException e) {
            cut(request);
        }
    }

    /**
     * Reads a numeric query parameter.
     *
     * @param request the request
     * @param name the parameter
     * @param otherwise its value if absent
     * @return the value
     */
    protected static int number(Request request, String name, int otherwise) {
        String value = request.getParameter(name);
        return value == null ? otherwise : Integer.parseInt(value);
    }

    /**
     * Creates an empty JSON object.
     *
     * @return the object
     */
    protected static ObjectNode object() {
        return JSON.createObjectNode();
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "stand-in");
        thread.setDaemon(true);
        return thread;
    }
}
