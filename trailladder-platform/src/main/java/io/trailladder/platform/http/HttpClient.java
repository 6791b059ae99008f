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
package io.trailladder.platform.http;

import io.trailladder.platform.http.HttpFailureException.Kind;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Calls HTTP servers without blocking. Every call uses its own connection, so that bytes of an
 * incomplete answer cannot reach the next call, and so that it is never uncertain whether a request
 * was sent on a connection that the server closed while idle.
 *
 * <pre>{@code
 * try (HttpClient client = new HttpClient(timer)) {
 *     client.call(HttpCall.get(HostPort.parse("127.0.0.1:80"), "/", 1000)).thenAccept(reply -> ...);
 * }
 * }</pre>
 *
 * @since 0.1
 */
public final class HttpClient implements AutoCloseable {
    /** Maximum size of the body that {@link #call} collects, in bytes. */
    public static final int MAX_COLLECTED_BYTES = 4 * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long SWEEP_INTERVAL_MILLIS = 50;

    private final TCPNIOTransport transport;
    private final Set<HttpExchange> exchanges = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client.
     *
     * @param timer runs the check for servers that do not respond
     */
    public HttpClient(ScheduledExecutorService timer) {
        transport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setConnectionTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setTcpNoDelay(true)
                        .build();
        transport.setProcessor(
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new HttpClientFilter())
                        .add(new ExchangeFilter())
                        .build());
        try {
            transport.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        timer.scheduleWithFixedDelay(
                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @param listener receives the answer, on a thread that must not block
     * @return the exchange, by which the call can be cancelled
     */
    public HttpExchange send(HttpCall call, HttpListener listener) {
        HttpExchange exchange = new HttpExchange(call, listener);
        exchanges.add(exchange);
        InetSocketAddress address =
                new InetSocketAddress(call.target().host(), call.target().port());
        transport.connect(
                address,
                new EmptyCompletionHandler<>() {
                    @Override
                    @SuppressWarnings("rawtypes") // signature of Grizzly
                    public void completed(Connection connection) {
                        write(exchange, connection);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        exchange.fail(Kind.UNREACHABLE);
                    }

                    @Override
                    public void cancelled() {
                        exchange.fail(Kind.UNREACHABLE);
                    }
                });
        return exchange;
    }

    /**
     * Sends a call and collects its answer.
     *
     * @param call the call
     * @return the complete answer; fails with {@link HttpFailureException}
     */
    public CompletableFuture<HttpReply> call(HttpCall call) {
        Collector collector = new Collector(call.target());
        collector.exchange(send(call, collector));
        return collector.reply;
    }

    @Override
    public void close() {
        exchanges.forEach(HttpExchange::cancel);
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(HttpExchange exchange, Connection<?> connection) {
        ExchangeFilter.attach(connection, exchange);
        HttpCall call = exchange.call();
        HttpRequestPacket.Builder request =
                HttpRequestPacket.builder()
                        .method(call.method())
                        .uri(call.path())
                        .protocol("HTTP/1.1")
                        .header("Host", call.target().toString())
                        .header("Connection", "close")
                        .contentLength(call.body().length);
        call.headers().forEach(request::header);
        HttpContent content =
                HttpContent.builder(request.build())
                        .content(Buffers.wrap(connection.getMemoryManager(), call.body()))
                        .last(true)
                        .build();
        if (exchange.beginSend(connection)) {
            connection.write(content);
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        exchanges.removeIf(HttpExchange::isOver);
        exchanges.forEach(exchange -> failIfIdle(exchange, now));
    }

    /**
     * Fails an idle exchange; an exception of its listener must not end the check for the others.
     */
    private static void failIfIdle(HttpExchange exchange, long now) {
        try {
            exchange.failIfIdle(now);
        } catch (RuntimeException e) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }

    /** Collects an answer of at most {@link #MAX_COLLECTED_BYTES}. */
    private static final class Collector implements HttpListener {
        private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final HostPort target;
        private volatile HttpExchange exchange;
        private int status;
        private String contentType = "";

        Collector(HostPort target) {
            this.target = target;
        }

        void exchange(HttpExchange sent) {
            exchange = sent;
        }

        @Override
        public void head(int answerStatus, String type) {
            status = answerStatus;
            contentType = type;
        }

        @Override
        public void body(byte[] bytes) {
            if (body.size() + bytes.length > MAX_COLLECTED_BYTES) {
                reply.completeExceptionally(new HttpFailureException(Kind.MALFORMED, true, target));
                HttpExchange running = exchange;
                if (running != null) {
                    running.cancel();
                }
                return;
            }
            body.writeBytes(bytes);
        }

        @Override
        public void ended() {
            reply.complete(new HttpReply(status, contentType, body.toByteArray()));
        }

        @Override
        public void failed(HttpFailureException failure) {
            reply.completeExceptionally(failure);
        }
    }
}
