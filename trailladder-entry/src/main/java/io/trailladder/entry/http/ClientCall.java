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

import java.util.Optional;
import org.glassfish.grizzly.Connection;
import org.tinylog.Logger;

/**
 * A call in progress.
 *
 * @since 0.2
 */
public final class ClientCall {
    private final OutgoingCall request;
    private final CallListener listener;
    private Connection<?> connection;
    private boolean over;
    private boolean headSeen;
    private boolean requestWritten;
    private boolean reusable = true;
    private boolean endsWithConnection;
    private long reuseMillis = KeepAlive.NOT_SPECIFIED;
    private Runnable onWritten;
    private Runnable cancelOpening = () -> {};

    ClientCall(OutgoingCall request, CallListener listener) {
        this.request = request;
        this.listener = listener;
    }

    /** Sets the task that gives up the connection which is being opened. */
    void opening(Runnable cancelTask) {
        cancelOpening = cancelTask;
    }

    /** Cancels the call: closes its connection, and calls its listener no more. */
    public void cancel() {
        over();
        closeConnection();
    }

    OutgoingCall request() {
        return request;
    }

    boolean isOver() {
        return over;
    }

    /** Records that a new connection was opened for the call, directly or through a peer. */
    void connected(Optional<String> peer) {
        listener.connected(peer);
    }

    /** Begins on a connection. Returns false, with the call failed, if it is no longer wanted. */
    boolean begin(Connection<?> opened) {
        connection = opened;
        if (!listener.isWanted()) {
            fail(CallFailure.WITHHELD);
            return false;
        }
        listener.sending();
        return true;
    }

    void written() {
        requestWritten = true;
        notifyWritten();
    }

    /**
     * Returns whether the whole request has been written.
     *
     * @return false while a part of it waits to be sent
     */
    public boolean isWritten() {
        return requestWritten;
    }

    /**
     * Sets the task that runs once the request has been sent, or never will be. Runs at most once.
     */
    void onWritten(Runnable task) {
        onWritten = task;
    }

    private void over() {
        over = true;
        notifyWritten();
    }

    private void notifyWritten() {
        if (onWritten != null) {
            Runnable task = onWritten;
            onWritten = null;
            task.run();
        }
    }

    boolean canKeepConnection() {
        return requestWritten && reusable && reuseMillis > 0;
    }

    /** Returns how long the connection may be idle and still be reused, in milliseconds. */
    long reuseMillis() {
        return reuseMillis;
    }

    void head(int status, HeaderList headers, long length) {
        if (over || headSeen) {
            return;
        }
        headSeen = true;
        if (headers.differ("Content-Length") || !headers.areNamesValid()) {
            Logger.warn(
                    "connection to {} closed, received a head with status {} whose fields are not"
                            + " valid, expected names without spaces and at most one length",
                    request.target(),
                    status);
            fail(CallFailure.BROKEN);
            return;
        }
        endsWithConnection = length < 0 && !isChunked(headers);
        boolean closes =
                headers.first("Connection").map(v -> v.equalsIgnoreCase("close")).orElse(false);
        if (closes) {
            reusable = false;
        }
        reuseMillis = KeepAlive.reuseMillis(headers);
        listener.head(status, headers, length);
    }

    /** Returns whether the answer has no length and ends with its connection. */
    boolean endsWithConnection() {
        return endsWithConnection;
    }

    void body(byte[] bytes) {
        if (!over) {
            listener.body(bytes);
        }
    }

    void end() {
        if (!over) {
            over();
            listener.ended();
        }
    }

    /** Ends an answer with neither a length nor chunks after its connection was closed. */
    void endUnframed() {
        if (!over) {
            over();
            listener.endedUnframed();
        }
    }

    void fail(CallFailure failure) {
        if (!over) {
            over();
            closeConnection();
            listener.failed(failure);
        }
    }

    private static boolean isChunked(HeaderList headers) {
        return headers.first("Transfer-Encoding").isPresent();
    }

    private void closeConnection() {
        if (connection != null) {
            connection.terminateSilently();
        } else {
            cancelOpening.run();
        }
    }
}
