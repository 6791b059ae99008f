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

import java.net.SocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;

/**
 * One request that was read whole, and its answer.
 *
 * @since 0.2
 */
public final class ServerExchange {
    private static final byte[] NO_BYTES = {};

    private final ServerConnection owner;
    private final HttpRequestPacket request;
    private final HeaderList headers;
    private final byte[] body;
    private HttpResponsePacket response;
    private Runnable onGone = () -> {};
    private boolean closeAfter;
    private volatile boolean over;
    private boolean gone;

    ServerExchange(
            ServerConnection owner, HttpRequestPacket request, HeaderList headers, byte[] body) {
        this.owner = owner;
        this.request = request;
        this.headers = headers;
        this.body = body;
        this.closeAfter = !request.getProcessingState().isKeepAlive() || wantsClose(headers);
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method
     */
    public String method() {
        return request.getMethod().getMethodString();
    }

    /**
     * Returns the path without its query, as sent.
     *
     * @return the path
     */
    public String path() {
        return request.getRequestURIRef().getOriginalRequestURIBC().toString();
    }

    /**
     * Returns the path with its query, as sent.
     *
     * @return the request target
     */
    public String uri() {
        String query = request.getQueryStringDC().isNull() ? null : request.getQueryString();
        return query == null ? path() : path() + '?' + query;
    }

    /**
     * Returns the header fields as sent.
     *
     * @return the fields
     */
    public HeaderList headers() {
        return headers;
    }

    /**
     * Returns the body.
     *
     * @return the bytes; not to be changed
     */
    public byte[] body() {
        return body;
    }

    /**
     * Sets what is done when the caller leaves before the answer is whole; at once if it has left.
     *
     * @param task runs at most once
     */
    public void onGone(Runnable task) {
        if (gone) {
            task.run();
        } else {
            onGone = task;
        }
    }

    /**
     * Tells whether the answer is whole, or can no longer be.
     *
     * @return true if nothing more can be sent
     */
    public boolean isOver() {
        return over;
    }

    /** Has the connection closed after this answer. */
    public void closeAfter() {
        closeAfter = true;
    }

    /**
     * Sends a whole answer.
     *
     * @param status HTTP status
     * @param fields header fields without those that concern the connection
     * @param bytes the body
     */
    public void respond(int status, HeaderList fields, byte[] bytes) {
        begin(status, fields, bytes.length);
        endWith(bytes);
    }

    /**
     * Begins an answer.
     *
     * @param status HTTP status
     * @param fields header fields without those that concern the connection
     * @param length length of the body; below 0 if not known
     */
    public void begin(int status, HeaderList fields, long length) {
        HttpResponsePacket.Builder head = HttpResponsePacket.builder(request).status(status);
        head.protocol("HTTP/1.1");
        fields.fields().forEach(field -> head.header(field.name(), field.value()));
        if (length >= 0) {
            head.contentLength(length);
        } else {
            head.chunked(true);
        }
        closeAfter |= owner.isClosing();
        if (closeAfter) {
            head.header("Connection", "close");
        }
        response = head.build();
    }

    /**
     * Sends a part of the body at once.
     *
     * @param bytes the part
     */
    public void write(byte[] bytes) {
        if (!over && bytes.length > 0) {
            send(bytes, false);
        }
    }

    /**
     * Tells whether more may be written without piling up. May be called on any thread.
     *
     * @return false while the caller does not read
     */
    public boolean isWritable() {
        return owner.connection().canWrite();
    }

    /**
     * Has a task run once more may be written, or nothing more can be.
     *
     * @param task the task
     */
    public void whenWritable(Runnable task) {
        owner.connection()
                .notifyCanWrite(
                        new WriteHandler() {
                            @Override
                            public void onWritePossible() {
                                task.run();
                            }

                            @Override
                            public void onError(Throwable cause) {
                                task.run();
                            }
                        });
    }

    /** Ends the answer as whole. */
    public void end() {
        endWith(NO_BYTES);
    }

    /**
     * Sends the last part with the end, since an end without bytes tells nobody that it is sent.
     */
    private void endWith(byte[] bytes) {
        if (over) {
            return;
        }
        over = true;
        send(bytes, true);
        owner.answered(this);
    }

    /** Breaks the answer off so that it does not look whole. */
    public void abort() {
        if (!over) {
            over = true;
            owner.close();
        }
    }

    boolean closesAfter() {
        return closeAfter;
    }

    void gone() {
        if (!over) {
            over = true;
            gone = true;
            onGone.run();
        }
    }

    @SuppressWarnings("unchecked") // a TCP connection's address type
    private void send(byte[] bytes, boolean last) {
        Connection<SocketAddress> connection = (Connection<SocketAddress>) owner.connection();
        HttpContent content =
                HttpContent.builder(response)
                        .content(Buffers.wrap(connection.getMemoryManager(), bytes))
                        .last(last)
                        .build();
        connection.write(
                null,
                content,
                new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<HttpContent, SocketAddress> result) {
                        if (last && closeAfter) {
                            owner.closeAfterAnswer();
                        }
                    }

                    @Override
                    public void failed(Throwable cause) {
                        owner.close();
                    }
                });
    }

    private static boolean wantsClose(HeaderList headers) {
        return headers.first("Connection").map(v -> v.equalsIgnoreCase("close")).orElse(false);
    }
}
