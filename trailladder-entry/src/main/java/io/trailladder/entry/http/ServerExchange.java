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

import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * One request that was read whole, and its answer.
 *
 * @since 0.2
 */
public final class ServerExchange {
    /**
     * What a request holds beside its body: its head, the connections to caller and upstream, and
     * the objects that carry it through. The live heap of a gateway grew by 20 KB for each of 500
     * requests that their upstream did not answer.
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
     * Returns the body.
     *
     * @return the bytes; not to be changed
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the length that the head announces.
     *
     * @return bytes of the body; 0 if not told
     */
    public long announcedBytes() {
        return Math.max(0, request.getContentLength());
    }

    /**
     * Sets what is done when the caller leaves before the answer is whole; at once if it has left.
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
        writer = new AnswerWriter(owner, this, head.build());
    }

    /**
     * Sends a part of the body at once.
     *
     * @param bytes the part
     */
    public void write(byte[] bytes) {
        if (!over && bytes.length > 0) {
            writer.write(bytes, false);
        }
    }

    /**
     * Tells whether more may be written without piling up. May be called on any thread.
     *
     * @return false while the caller does not read
     */
    public boolean isWritable() {
        AnswerWriter begun = writer;
        return begun == null || begun.isWritable();
    }

    /**
     * Has a task run once more may be written, or nothing more can be. To be called on the loop's
     * thread.
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
     * Tells whose answer it is.
     *
     * @param told whose
     */
    public void answerOwner(AnswerOwner told) {
        answerOwner = told;
    }

    /**
     * Returns whose answer it is.
     *
     * @return whose, as far as was told
     */
    public AnswerOwner answerOwner() {
        return answerOwner;
    }

    /**
     * Returns what is held of the answer because the caller has not read it.
     *
     * @return bytes
     */
    public int unreadBytes() {
        return writer == null ? 0 : writer.unsentBytes();
    }

    /**
     * Returns how long the caller has taken nothing of what is held.
     *
     * @param nowMillis the time, in milliseconds
     * @return milliseconds; 0 if nothing is held
     */
    public long unreadMillis(long nowMillis) {
        return unreadBytes() == 0 ? 0 : writer.idleMillis(nowMillis);
    }

    /**
     * Ends an answer that is not read. Its connection is closed, so that it does not look whole; of
     * a stream that can be resumed the whole events that are under way still go first, unless it is
     * cut again. Who sends the answer is told at once that the caller is gone. An answer that was
     * read whole meanwhile is not touched, nor is the next one of its connection.
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
     * Tells whether the answer was cut.
     *
     * @return true if it was ended because it was not read
     */
    public boolean isCut() {
        return cut;
    }

    /** Ends the answer as whole. */
    public void end() {
        endWith(NO_BYTES);
    }

    /** Sends the last part with the end, which saves a write. */
    private void endWith(byte[] bytes) {
        if (over) {
            return;
        }
        over = true;
        writer.write(bytes, true);
    }

    /** Breaks the answer off so that it does not look whole; what was written still leaves. */
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

    boolean closesAfter() {
        return closeAfter;
    }

    /** Returns what its request holds, in bytes. */
    int requestBytes() {
        return REQUEST_BYTES + body.length;
    }

    /** Gives back what is held of the answer. */
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
