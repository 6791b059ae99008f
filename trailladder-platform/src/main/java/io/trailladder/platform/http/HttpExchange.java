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
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Connection;

/**
 * One call on its own connection. It reports the end to its listener exactly once.
 *
 * @since 0.1
 */
public final class HttpExchange {
    private final HttpCall call;
    private final HttpListener listener;
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile Connection<?> connection;
    private volatile boolean sent;
    private volatile long lastActivityNanos = System.nanoTime();
    private boolean headSeen;

    HttpExchange(HttpCall call, HttpListener listener) {
        this.call = call;
        this.listener = listener;
    }

    /** Cancels the call. The listener receives a failure unless the call has already ended. */
    public void cancel() {
        fail(Kind.CANCELLED);
    }

    HttpCall call() {
        return call;
    }

    boolean isOver() {
        return over.get();
    }

    /**
     * Records that bytes of the request may be sent from now on.
     *
     * @param opened the connection they are sent on
     * @return false if the call is over and must not be sent
     */
    boolean beginSend(Connection<?> opened) {
        connection = opened;
        sent = true;
        if (over.get()) {
            opened.closeSilently();
            return false;
        }
        return true;
    }

    void head(int status, String contentType) {
        recordActivity();
        if (!headSeen && !over.get()) {
            headSeen = true;
            listener.head(status, contentType);
        }
    }

    void body(byte[] bytes) {
        recordActivity();
        if (!over.get()) {
            listener.body(bytes);
        }
    }

    void end() {
        if (over.compareAndSet(false, true)) {
            close();
            listener.ended();
        }
    }

    void fail(Kind kind) {
        if (over.compareAndSet(false, true)) {
            close();
            listener.failed(new HttpFailureException(kind, sent, call.target()));
        }
    }

    void failIfIdle(long nowNanos) {
        if (nowNanos - lastActivityNanos > call.idleTimeoutMillis() * 1_000_000) {
            fail(Kind.SILENT);
        }
    }

    private void recordActivity() {
        lastActivityNanos = System.nanoTime();
    }

    private void close() {
        Connection<?> open = connection;
        if (open != null) {
            open.closeSilently();
        }
    }
}
