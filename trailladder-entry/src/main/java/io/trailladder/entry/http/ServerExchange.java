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

import java.util.function.Consumer;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;

/**
 * A request that was read completely, and its answer.
 *
 * @since 0.2
 */
public final class ServerExchange {
    /**
     * Memory that a request uses in addition to its body, in bytes: its head, the connections to
     * caller and upstream, and the objects that process it. With 500 requests that their upstream
     * did not answer, the live heap of a gateway grew by 20 KB for each.
     */
    static final int REQUEST_BYTES = 20 * 1024;

    private static final byte[] NO_BYTES = {};

    private final ServerConnection owner;
    private final HttpRequestPacket request;
    private final HeaderList headers;
    private final byte[] body;
    private volatile AnswerWriter writer;
    private AnswerOwner answerOwner = AnswerOwner.UNKNOWN;
    private Runnable onDisconnect = () -> {};
    private boolean closeAfter;
    private boolean unframed;
    private volatile boolean over;
    private boolean disconnected;
    private boolean cut;

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
     * Returns the request body.
     *
     * @return the bytes, which must not be modified
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the body length given in the request head.
     *
     * @return length in bytes; 0 if not given
     */
    public long announcedBytes() {
        return Math.max(0, request.getContentLength());
    }

    /**
     * Sets the task that runs when the caller disconnects before the answer is complete. Runs it at
     * once if the caller has already disconnected.
     *
     * @param task runs at most once
     */
    public void onDisconnect(Runnable task) {
        if (disconnected) {
            task.run();
        } else {
            onDisconnect = task;
        }
    }

    /**
     * Returns whether the answer is complete, or can no longer be completed.
     *
     * @return true if nothing more can be sent
     */
    public boolean isOver() {
        return over;
    }

    /** Closes the connection after this answer. */
    public void closeAfter() {
        closeAfter = true;
    }

    /**
     * Sends a complete answer.
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
     * Begins an answer. A body whose length is not known is sent in chunks, or to a caller of
     * HTTP/1.0 without framing.
     *
     * @param status HTTP status
     * @param fields header fields without those that concern the connection
     * @param length length of the body in bytes; below 0 if not known
     */
    public void begin(int status, HeaderList fields, long length) {
        if (length >= 0) {
            begin(status, fields, head -> head.contentLength(length));
        } else if (request.getProtocol() == Protocol.HTTP_1_1) {
            begin(status, fields, head -> head.chunked(true));
        } else {
            beginUnframed(status, fields);
        }
    }

    /**
     * Begins an answer with neither a length nor chunks: it ends with its connection. Until then
     * any other end of the connection resets it, since a close would make the answer look complete.
     *
     * @param status HTTP status
     * @param fields header fields without those that concern the connection
     */
    public void beginUnframed(int status, HeaderList fields) {
        unframed = true;
        closeAfter = true;
        owner.resetOnClose(true);
        begin(status, fields, head -> {});
    }

    private void begin(
            int status, HeaderList fields, Consumer<HttpResponsePacket.Builder> framing) {
        HttpResponsePacket.Builder head = HttpResponsePacket.builder(request).status(status);
        head.protocol("HTTP/1.1");
        fields.fields().forEach(field -> head.header(field.name(), field.value()));
        framing.accept(head);
        closeAfter |= owner.isClosing();
        if (closeAfter) {
            head.header("Connection", "close");
        }
        writer = new AnswerWriter(owner, this, head.build());
    }

    /**
     * Sends a part of the body without waiting for more.
     *
     * @param bytes the part
     */
    public void write(byte[] bytes) {
        if (!over && bytes.length > 0) {
            writer.write(bytes, false);
        }
    }

    /**
     * Returns whether more may be written without accumulating in memory. May be called on any
     * thread.
     *
     * @return false while too many written bytes are still unsent
     */
    public boolean isWritable() {
        AnswerWriter begun = writer;
        return begun == null || begun.isWritable();
    }

    /**
     * Runs a task as soon as more may be written, or nothing more can be written. Must be called on
     * the loop's thread.
     *
     * @param task the task
     */
    public void whenWritable(Runnable task) {
        if (over || writer == null) {
            task.run();
        } else {
            writer.whenWritable(task);
        }
    }

    /**
     * Sets the owner of the answer.
     *
     * @param changed the owner
     */
    public void answerOwner(AnswerOwner changed) {
        answerOwner = changed;
    }

    /**
     * Returns the owner of the answer.
     *
     * @return the owner; {@link AnswerOwner#UNKNOWN} if none was set
     */
    public AnswerOwner answerOwner() {
        return answerOwner;
    }

    /**
     * Returns how much of the answer is kept in memory because the caller has not read it.
     *
     * @return bytes
     */
    public int unreadBytes() {
        return writer == null ? 0 : writer.unsentBytes();
    }

    /**
     * Returns how long the caller has read nothing of the unsent part of the answer.
     *
     * @param nowMillis the time, in milliseconds
     * @return milliseconds; 0 if nothing is unsent
     */
    public long unreadMillis(long nowMillis) {
        return unreadBytes() == 0 ? 0 : writer.idleMillis(nowMillis);
    }

    /**
     * Ends an answer that the caller does not read. Closes its connection, so that the answer does
     * not look complete. If the stream can be resumed, the complete events of the write in progress
     * are sent first, unless this method is called again. The disconnect task runs at once. Does
     * nothing if the answer has been read completely in the meantime; the next answer on the
     * connection is not affected.
     */
    public void cut() {
        if (!owner.isAnswering(this)) {
            return;
        }
        boolean again = cut;
        cut = true;
        if (writer == null || again || !answerOwner.resumable()) {
            owner.terminate();
        } else {
            writer.cut();
        }
        disconnected();
    }

    /**
     * Returns whether the answer was cut.
     *
     * @return true if it was ended because it was not read
     */
    public boolean isCut() {
        return cut;
    }

    /** Ends the answer as complete. */
    public void end() {
        endWith(NO_BYTES);
    }

    /** Sends the last part together with the end, which saves a write. */
    private void endWith(byte[] bytes) {
        if (over) {
            return;
        }
        over = true;
        writer.write(bytes, true);
    }

    /**
     * Aborts the answer so that it does not look complete. Bytes already written are still sent.
     */
    public void abort() {
        if (over) {
            return;
        }
        over = true;
        if (writer == null) {
            owner.close();
        } else {
            writer.abort();
        }
    }

    /** Returns whether the answer ends with its connection. */
    boolean isUnframed() {
        return unframed;
    }

    boolean closesAfter() {
        return closeAfter;
    }

    /** Returns the memory that the request uses, in bytes. */
    int requestBytes() {
        return REQUEST_BYTES + body.length;
    }

    /** Releases the memory reserved for the answer. */
    void release() {
        if (writer != null) {
            writer.release();
        }
    }

    void disconnected() {
        if (!over) {
            over = true;
            disconnected = true;
            onDisconnect.run();
        }
    }

    private static boolean wantsClose(HeaderList headers) {
        return headers.first("Connection").map(v -> v.equalsIgnoreCase("close")).orElse(false);
    }
}
