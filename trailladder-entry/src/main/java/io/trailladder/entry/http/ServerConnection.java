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
import io.trailladder.core.memory.MemoryLevel;
import io.trailladder.core.memory.ReservationKind;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.nio.NIOConnection;
import org.tinylog.Logger;

/** The connection of one caller. Answers its requests one at a time, in the order of arrival. */
final class ServerConnection {
    private static final int MAX_PIPELINED_REQUESTS = 32;
    private static final long DROP_BODY_MILLIS = 1_000;
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    private static final int LINGER_OFF = -1;
    private static final byte[] NO_BYTES = {};

    private final HttpServer server;
    private final Connection<?> connection;
    private final MemoryAccount.Reservation holding;
    private final Deque<ServerExchange> waiting = new ArrayDeque<>();
    private HttpRequestPacket reading;

    /** The header fields of the request that is being read, or that was read last. */
    private HeaderList headers = HeaderList.EMPTY;

    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ServerExchange current;
    private boolean refusing;
    private boolean bodyEnded;
    private long closeAtMillis;
    private long idleSinceMillis;
    private long idleOrder;
    private long headSinceMillis = -1;

    ServerConnection(HttpServer server, Connection<?> connection) {
        this.server = server;
        this.connection = connection;
        this.holding = server.account().open(ReservationKind.REQUESTS);
        markIdle();
    }

    Connection<?> connection() {
        return connection;
    }

    boolean isClosing() {
        return server.isClosing();
    }

    HttpServer server() {
        return server;
    }

    void bytesRead() {
        if (current == null && reading == null && headSinceMillis < 0) {
            headSinceMillis = server.nowMillis();
        }
    }

    void read(HttpContent content) {
        if (refusing) {
            bodyDropped(content);
            return;
        }
        HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
        if (request != reading) {
            reading = request;
            headers = HeaderList.of(request.getHeaders());
            headSinceMillis = -1;
            markIdle();
            if (!acceptable(request) || answeredWithoutBody(request, content)) {
                bodyDropped(content);
                return;
            }
        }
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining()) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            body.writeBytes(bytes);
            if (body.size() > server.bounds().maxBodyBytes()) {
                refuse(request, TOO_LARGE);
                bodyDropped(content);
                return;
            }
            boolean fits = updateAccount();
            if (!fits || (!content.isLast() && server.account().level() == MemoryLevel.FULL)) {
                refuse(request, UNAVAILABLE);
                bodyDropped(content);
                return;
            }
        }
        if (content.isLast()) {
            reading = null;
            ServerExchange exchange = new ServerExchange(this, request, headers, takeBody());
            if (holding.set(usedBytes() + exchange.requestBytes())) {
                accept(exchange);
                updateAccount();
            } else {
                refuse(request, UNAVAILABLE);
                bodyDropped(content);
            }
        }
    }

    /** Starts the next request, or closes, after the last byte of an answer was written. */
    void written(ServerExchange exchange) {
        if (exchange != current) {
            return;
        }
        current = null;
        updateAccount();
        markIdle();
        if (exchange.isUnframed()) {
            resetOnClose(false);
        }
        if (exchange.closesAfter()) {
            closeAfterAnswer();
        } else {
            startNext();
        }
    }

    void closed() {
        if (current != null) {
            ServerExchange open = current;
            current = null;
            open.release();
            open.disconnected();
        }
        waiting.clear();
        holding.close();
    }

    /** Sets whether the connection is reset when it closes, for whatever reason it does. */
    void resetOnClose(boolean reset) {
        SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, reset ? 0 : LINGER_OFF);
        } catch (IOException e) {
            Logger.warn(e, "connection {} closes: SO_LINGER was not set", connection);
            terminate();
        }
    }

    /** Closes after all bytes passed to the socket have been written. */
    void close() {
        connection.closeSilently();
    }

    /** Closes at once and drops the bytes that are not yet written. */
    void terminate() {
        connection.terminateSilently();
    }

    /**
     * Closes after the last answer. While the body of a refused request is still arriving, the
     * close is delayed: it would reset the connection, and the caller would not see the answer.
     */
    void closeAfterAnswer() {
        if (refusing && !bodyEnded) {
            closeAtMillis = server.nowMillis() + DROP_BODY_MILLIS;
        } else {
            close();
        }
    }

    boolean isIdle() {
        return current == null && reading == null && headSinceMillis < 0;
    }

    private void markIdle() {
        idleSinceMillis = server.nowMillis();
        idleOrder = server.nextOrder();
    }

    /**
     * Returns a sequence number that orders idle connections by the start of their idle time, the
     * longest idle first. Meaningful only while the connection is idle.
     */
    long idleOrder() {
        return idleOrder;
    }

    boolean hasRequest() {
        return current != null || !waiting.isEmpty();
    }

    void checkTime(long nowMillis) {
        if (closeAtMillis > 0 && nowMillis >= closeAtMillis) {
            close();
            return;
        }
        ServerBounds bounds = server.bounds();
        long unreadMillis = current == null ? 0 : current.unreadMillis(nowMillis);
        if (unreadMillis > bounds.idleTimeoutMillis()) {
            server.unread().idle(current, unreadMillis);
            return;
        }
        boolean headLate =
                headSinceMillis >= 0 && nowMillis - headSinceMillis > bounds.headerTimeoutMillis();
        boolean bodyLate =
                reading != null && nowMillis - idleSinceMillis > bounds.idleTimeoutMillis();
        if (bodyLate && current == null) {
            refuse(reading, REQUEST_TIMEOUT);
        } else if (headLate) {
            close();
        } else if (isIdle() && nowMillis - idleSinceMillis > bounds.idleTimeoutMillis()) {
            close();
        }
    }

    private byte[] takeBody() {
        if (body.size() == 0) {
            return NO_BYTES;
        }
        byte[] bytes = body.toByteArray();
        body = new ByteArrayOutputStream();
        return bytes;
    }

    /**
     * Updates the memory account with the bytes that the requests of this connection use.
     *
     * @return false if the budget has no room for them
     */
    private boolean updateAccount() {
        return holding.set(usedBytes());
    }

    private long usedBytes() {
        long bytes = body.size();
        if (current != null) {
            bytes += current.requestBytes();
        }
        for (ServerExchange exchange : waiting) {
            bytes += exchange.requestBytes();
        }
        return bytes;
    }

    private void accept(ServerExchange exchange) {
        if (current == null) {
            start(exchange);
        } else if (waiting.size() < MAX_PIPELINED_REQUESTS) {
            waiting.addLast(exchange);
        } else {
            close();
        }
    }

    boolean isAnswering(ServerExchange exchange) {
        return exchange == current;
    }

    /** Returns the request whose answer is not yet completely written; null if there is none. */
    ServerExchange current() {
        return current;
    }

    private void startNext() {
        ServerExchange next = waiting.pollFirst();
        if (next != null) {
            start(next);
        }
    }

    private void start(ServerExchange exchange) {
        current = exchange;
        server.handler().handle(exchange);
    }

    /** Refuses requests whose length is ambiguous, and bodies that exceed the maximum size. */
    private boolean acceptable(HttpRequestPacket request) {
        String encoding = headers.first("Transfer-Encoding").orElse("");
        boolean hasLength = headers.first("Content-Length").isPresent();
        boolean encoded = !encoding.isEmpty();
        if ((encoded && (hasLength || !encoding.equalsIgnoreCase("chunked")))
                || headers.count("Transfer-Encoding") > 1
                || headers.count("Host") > 1) {
            refuse(request, BAD_REQUEST);
            return false;
        }
        if (request.getContentLength() > server.bounds().maxBodyBytes()) {
            refuse(request, TOO_LARGE);
            return false;
        }
        return true;
    }

    private void refuse(HttpRequestPacket request, int status) {
        refusing = true;
        takeBody();
        updateAccount();
        if (current != null) {
            close();
            return;
        }
        ServerExchange exchange = new ServerExchange(this, request, headers, NO_BYTES);
        current = exchange;
        exchange.closeAfter();
        server.handler().refuse(exchange, status);
    }

    /** Lets the handler answer a request whose body must not be read by this server. */
    private boolean answeredWithoutBody(HttpRequestPacket request, HttpContent content) {
        if (current != null || content.isLast()) {
            return false;
        }
        ServerExchange exchange = new ServerExchange(this, request, headers, NO_BYTES);
        exchange.closeAfter();
        current = exchange;
        refusing = true;
        if (server.handler().answersWithoutBody(exchange)) {
            return true;
        }
        current = null;
        refusing = false;
        return false;
    }

    private void bodyDropped(HttpContent content) {
        if (!refusing || !content.isLast()) {
            return;
        }
        bodyEnded = true;
        if (closeAtMillis > 0) {
            close();
        }
    }
}
