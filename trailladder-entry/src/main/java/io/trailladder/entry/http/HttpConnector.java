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

import io.trailladder.entry.http.ConnectionOpener.Filters;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;

/**
 * An HTTP client on the event loop. It makes one call at a time on a connection, and keeps idle
 * connections for a short time.
 *
 * <p>A connection that delivers any byte beyond a complete answer is closed and never reused.
 *
 * @since 0.2
 */
public final class HttpConnector {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final Attribute<ClientCall> CALL =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.client-call");

    private final EventLoop loop;
    private final Filters filters;
    private final ConnectionOpener direct;
    private ConnectionOpener upstreams;
    private final Map<HostPort, Deque<IdleConnection>> idleConnections = new HashMap<>();

    /** Bytes of requests that are not yet written, by server; no entry for servers that keep up. */
    private final Map<HostPort, Long> unwritten = new HashMap<>();

    private long opened;
    private long surplus;

    /**
     * A connection between two calls.
     *
     * @param idleSinceMillis when it became idle, in milliseconds
     * @param reuseMillis how long it may be idle and still be reused, in milliseconds
     */
    private record IdleConnection(
            Connection<?> connection, long idleSinceMillis, long reuseMillis) {
        boolean isUsable(long maxMillis, long nowMillis) {
            long idleMillis = nowMillis - idleSinceMillis;
            return connection.isOpen() && idleMillis <= maxMillis && idleMillis < reuseMillis;
        }
    }

    /**
     * Creates a connector.
     *
     * @param loop the loop on whose thread it is called
     */
    public HttpConnector(EventLoop loop) {
        this.loop = loop;
        this.filters = new Filters(List.of(new AnswerCodec(MAX_HEAD_BYTES), new AnswerFilter()));
        this.direct = new DirectOpener(loop);
        this.upstreams = direct;
    }

    /**
     * Sets what opens the connections to upstreams.
     *
     * @param opener opens them, directly or through a peer
     */
    public void upstreams(ConnectionOpener opener) {
        upstreams = opener;
    }

    /**
     * Sends a call.
     *
     * @param request the call
     * @param listener receives the answer on the loop's thread, never before this method returns
     *     unless a reused connection fails at once
     * @return the call, to cancel it
     */
    public ClientCall send(OutgoingCall request, CallListener listener) {
        ClientCall call = new ClientCall(request, listener);
        Connection<?> kept = request.maxIdleMillis() > 0 ? takeIdle(request) : null;
        if (kept != null) {
            write(call, kept);
        } else {
            open(call);
        }
        return call;
    }

    /**
     * Tests whether a server can be reached: opens a connection like that of a call, and sends
     * nothing.
     *
     * @param call the call
     * @param result receives true if a connection was opened
     */
    public void check(OutgoingCall call, Consumer<Boolean> result) {
        opener(call)
                .open(
                        call,
                        filters,
                        new ConnectionOpener.Listener() {
                            @Override
                            public void opened(Connection<?> connection, Optional<String> peer) {
                                connection.terminateSilently();
                                result.accept(true);
                            }

                            @Override
                            public void failed(CallFailure failure) {
                                result.accept(false);
                            }
                        });
    }

    private ConnectionOpener opener(OutgoingCall call) {
        return call.upstream().isPresent() ? upstreams : direct;
    }

    /**
     * Closes the idle connections to a server. To be called when a connection to it does not
     * respond: the others may be dead as well, and each would make a call run into its timeout.
     *
     * @param target the server
     */
    public void closeIdle(HostPort target) {
        Deque<IdleConnection> idle = idleConnections.remove(target);
        if (idle != null) {
            idle.forEach(unused -> unused.connection().terminateSilently());
        }
    }

    /**
     * Returns how many connections were opened.
     *
     * @return a count since the start
     */
    public long opened() {
        return opened;
    }

    /**
     * Returns how many connections were closed because they delivered bytes beyond an answer.
     *
     * @return a count since the start
     */
    public long surplus() {
        return surplus;
    }

    /**
     * Returns whether any request is not yet completely written to its server.
     *
     * @return false if all servers keep up
     */
    public boolean hasUnwritten() {
        return !unwritten.isEmpty();
    }

    /**
     * Returns the total size of the requests to a server that are not yet completely written.
     *
     * @param target the server
     * @return size of their bodies in bytes, each counted in full until its request is written
     */
    public long unwrittenBytes(HostPort target) {
        return unwritten.getOrDefault(target, 0L);
    }

    private void open(ClientCall call) {
        opened++;
        call.opening(
                opener(call.request())
                        .open(
                                call.request(),
                                filters,
                                new ConnectionOpener.Listener() {
                                    @Override
                                    public void opened(
                                            Connection<?> connection, Optional<String> peer) {
                                        call.connected(peer);
                                        write(call, connection);
                                    }

                                    @Override
                                    public void failed(CallFailure failure) {
                                        call.fail(failure);
                                    }
                                }));
    }

    @SuppressWarnings("unchecked") // a TCP connection's address type
    private void write(ClientCall call, Connection<?> connection) {
        if (!call.begin(connection)) {
            return;
        }
        CALL.set(connection, call);
        OutgoingCall request = call.request();
        HttpRequestPacket.Builder head =
                HttpRequestPacket.builder()
                        .method(request.method())
                        .uri(request.uri())
                        .protocol("HTTP/1.1");
        request.headers().fields().forEach(field -> head.header(field.name(), field.value()));
        if (request.body().length > 0 || needsLength(request.method())) {
            head.contentLength(request.body().length);
        }
        HttpContent content =
                HttpContent.builder(head.build())
                        .content(Buffers.wrap(connection.getMemoryManager(), request.body()))
                        .last(true)
                        .build();
        ((Connection<SocketAddress>) connection)
                .write(
                        null,
                        content,
                        new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                            @Override
                            public void completed(WriteResult<HttpContent, SocketAddress> result) {
                                call.written();
                            }
                        });
        if (!call.isWritten() && !call.isOver() && request.body().length > 0) {
            countUnwritten(call);
        }
    }

    private void countUnwritten(ClientCall call) {
        HostPort target = call.request().target();
        long bytes = call.request().body().length;
        unwritten.merge(target, bytes, Long::sum);
        call.onWritten(
                () ->
                        unwritten.computeIfPresent(
                                target, (server, all) -> all == bytes ? null : all - bytes));
    }

    private static boolean needsLength(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }

    private Connection<?> takeIdle(OutgoingCall request) {
        Deque<IdleConnection> idle = idleConnections.get(request.target());
        while (idle != null && !idle.isEmpty()) {
            IdleConnection last = idle.removeLast();
            if (last.isUsable(request.maxIdleMillis(), loop.nowMillis())) {
                return last.connection();
            }
            last.connection().terminateSilently();
        }
        return null;
    }

    /**
     * Keeps a connection for reuse, but only after all bytes received with the answer have been
     * processed.
     */
    private void keep(OutgoingCall request, Connection<?> connection, long reuseMillis) {
        loop.execute(
                () -> {
                    Deque<IdleConnection> idle =
                            idleConnections.computeIfAbsent(
                                    request.target(), address -> new ArrayDeque<>());
                    if (!connection.isOpen()) {
                        return;
                    }
                    while (idle.size() >= request.maxIdleConnections()) {
                        idle.removeFirst().connection().terminateSilently();
                    }
                    idle.addLast(new IdleConnection(connection, loop.nowMillis(), reuseMillis));
                });
    }

    /** Passes the content that Grizzly reads to the call of the connection. */
    private final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            ClientCall call = CALL.get(connection);
            HttpContent content = context.getMessage();
            if (call == null) {
                surplus++;
                connection.terminateSilently();
                return context.getStopAction();
            }
            HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
            long length = head.isChunked() ? -1 : head.getContentLength();
            call.head(head.getStatus(), HeaderList.of(head.getHeaders()), length);
            Buffer buffer = content.getContent();
            if (buffer != null && buffer.hasRemaining()) {
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                call.body(bytes);
            }
            if (content.isLast()) {
                CALL.remove(connection);
                finish(call, connection);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) throws IOException {
            Connection<?> connection = context.getConnection();
            ClientCall call = CALL.get(connection);
            if (call != null) {
                CALL.remove(connection);
                closed(call, connection);
            }
            return context.getInvokeAction();
        }

        private void finish(ClientCall call, Connection<?> connection) {
            boolean keeps = call.canKeepConnection() && call.request().maxIdleMillis() > 0;
            if (keeps && !RelayState.isRelayed(connection)) {
                keep(call.request(), connection, call.reuseMillis());
            } else if (call.isWritten()) {
                connection.closeSilently();
            } else {
                // Does not wait until the request body is written: it is not needed and uses
                // memory.
                connection.terminateSilently();
            }
            call.end();
        }

        private void closed(ClientCall call, Connection<?> connection) {
            if (call.endsWithConnection() && SocketFilter.endedOrderly(connection)) {
                call.endUnframed();
            } else {
                boolean lost = RelayState.isLost(connection);
                call.fail(lost ? CallFailure.RELAY_LOST : CallFailure.BROKEN);
            }
        }
    }
}
