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

import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryBudget;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;

/**
 * An HTTP server on the event loop. It continues to read while a request is processed, so that it
 * notices at once when the caller disconnects.
 *
 * @since 0.2
 */
public final class HttpServer {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_HEAD_FIELDS = 200;
    private static final long CHECK_MILLIS = 250;
    private static final Attribute<ServerConnection> CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.server-connection");

    private final EventLoop loop;
    private final int maxHeadBytes;
    private final RequestHandler handler;
    private final ServerConnections connections = new ServerConnections();
    private MemoryAccount account = new MemoryAccount(new MemoryBudget(Long.MAX_VALUE));
    private UnreadAnswers unread = UnreadAnswers.IDLE_ONLY;
    private ServerBounds bounds;
    private boolean closing;
    private long refused;
    private long order;
    private Connection<?> listener;

    /**
     * Creates a server.
     *
     * @param loop the loop on whose thread it runs
     * @param bounds limits of what it reads
     * @param handler handles its requests
     */
    public HttpServer(EventLoop loop, ServerBounds bounds, RequestHandler handler) {
        this(loop, MAX_HEAD_BYTES, bounds, handler);
    }

    /**
     * Creates a server with a maximum size of request heads.
     *
     * @param loop the loop on whose thread it runs
     * @param maxHeadBytes maximum size of a request head, in bytes
     * @param bounds limits of what it reads
     * @param handler handles its requests
     */
    public HttpServer(
            EventLoop loop, int maxHeadBytes, ServerBounds bounds, RequestHandler handler) {
        this.loop = loop;
        this.maxHeadBytes = maxHeadBytes;
        this.bounds = bounds;
        this.handler = handler;
    }

    /**
     * Starts to listen.
     *
     * @param address the address to listen at
     * @throws IOException if the port is taken
     */
    @SuppressWarnings("deprecation") // the only constructors that take the limits needed here
    public void start(HostPort address) throws IOException {
        KeepAlive keepAlive = new KeepAlive();
        keepAlive.setIdleTimeoutInSeconds(-1);
        keepAlive.setMaxRequestsCount(-1);
        HttpServerFilter codec =
                new HttpServerFilter(
                        false,
                        maxHeadBytes,
                        null,
                        keepAlive,
                        null,
                        MAX_HEAD_FIELDS,
                        MAX_HEAD_FIELDS);
        codec.setPreserveHeaderCase(true);
        FilterChain chain =
                FilterChainBuilder.stateless()
                        .add(new ClockedSocketFilter())
                        .add(codec)
                        .add(new RequestFilter())
                        .build();
        listener = loop.bind(new InetSocketAddress(address.host(), address.port()), chain);
        loop.repeat(CHECK_MILLIS, this::checkTimes);
    }

    /**
     * Returns the port it listens at.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /**
     * Changes the limits. They apply from the next check, also to requests in progress.
     *
     * @param changed the limits
     */
    public void bounds(ServerBounds changed) {
        bounds = changed;
    }

    /**
     * Limits the number of callers' connections. A connection beyond the limit causes idle
     * connections to be closed; if none is idle, the new connection is closed unread.
     *
     * @param limit maximum number of connections
     */
    public void maxConnections(int limit) {
        connections.maxConnections(limit);
    }

    /**
     * Returns how many connections were closed unread because the limit was reached.
     *
     * @return a count since the start
     */
    public long refused() {
        return refused;
    }

    /**
     * Counts requests and answers in a memory account. Must be called before the server listens.
     * Without an account, the memory in use is limited only by the time for which callers may leave
     * answers unread.
     *
     * @param shared the account
     * @param policy decides about answers that are not read
     */
    public void memory(MemoryAccount shared, UnreadAnswers policy) {
        account = shared;
        unread = policy;
    }

    /**
     * Returns the requests whose answers are partly unsent because their callers do not read them.
     *
     * @return a new list
     */
    public List<ServerExchange> unreadAnswers() {
        List<ServerExchange> unreadExchanges = new ArrayList<>();
        for (ServerConnection connection : connections.copy()) {
            ServerExchange current = connection.current();
            if (current != null && current.unreadBytes() > 0) {
                unreadExchanges.add(current);
            }
        }
        return unreadExchanges;
    }

    /** Closes the connection after every further answer. */
    public void closing() {
        closing = true;
    }

    /** Closes connections that have no request. */
    public void closeIdle() {
        for (ServerConnection connection : connections.copy()) {
            if (connection.isIdle()) {
                connection.close();
            }
        }
    }

    /** Stops listening. */
    public void stopListening() {
        listener.closeSilently();
    }

    /**
     * Returns how many connections have a request in progress or an answer that is not completely
     * sent.
     *
     * @return a count
     */
    public int open() {
        return (int) connections.copy().stream().filter(ServerConnection::hasRequest).count();
    }

    MemoryAccount account() {
        return account;
    }

    UnreadAnswers unread() {
        return unread;
    }

    ServerBounds bounds() {
        return bounds;
    }

    RequestHandler handler() {
        return handler;
    }

    boolean isClosing() {
        return closing;
    }

    /** Returns the next sequence number, which orders events within the same millisecond. */
    long nextOrder() {
        return ++order;
    }

    long nowMillis() {
        return loop.nowMillis();
    }

    private void checkTimes() {
        long now = loop.nowMillis();
        connections.copy().forEach(connection -> connection.checkTime(now));
    }

    /** Reports received bytes to their connection before they form a request. */
    private static final class ClockedSocketFilter extends SocketFilter {
        @Override
        protected void bytesRead(Connection<?> connection, int count) {
            ServerConnection known = CONNECTION.get(connection);
            if (known != null) {
                known.bytesRead();
            }
        }
    }

    /** Passes requests and close events to their connection. */
    private final class RequestFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) {
            ServerConnection connection =
                    new ServerConnection(HttpServer.this, context.getConnection());
            CONNECTION.set(context.getConnection(), connection);
            if (!connections.add(connection)) {
                refused++;
                connection.terminate();
                return context.getStopAction();
            }
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpContent content = context.getMessage();
            CONNECTION.get(context.getConnection()).read(content);
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ServerConnection connection = CONNECTION.get(context.getConnection());
            if (connection != null) {
                connections.remove(connection);
                connection.closed();
            }
            return context.getInvokeAction();
        }
    }
}
