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
package io.trailladder.entry.caller;

import io.trailladder.entry.serve.CallerSink;
import io.trailladder.wire.PeerMessage.Header;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Sends an answer over a caller's connection.
 *
 * @since 0.1
 */
final class GrizzlySink implements CallerSink {
    private final Response response;
    private final Connection<?> connection;
    private final NIOOutputStream out;
    private final AtomicReference<Runnable> gone = new AtomicReference<>(() -> {});
    private volatile boolean over;

    /** Creates the sink of a suspended response. */
    GrizzlySink(Response response) {
        this.response = response;
        this.connection = response.getRequest().getRequest().getConnection();
        this.out = response.getNIOOutputStream();
        connection
                .closeFuture()
                .addCompletionHandler(
                        new EmptyCompletionHandler<>() {
                            @Override
                            public void completed(CloseReason reason) {
                                connectionClosed();
                            }
                        });
    }

    @Override
    public void head(int status, List<Header> headers) {
        if (over) {
            return;
        }
        response.setStatus(status);
        for (Header header : headers) {
            switch (header.name()) {
                case "Content-Type" -> response.setContentType(header.value());
                case "Content-Length" ->
                        response.setContentLengthLong(Long.parseLong(header.value()));
                default -> response.setHeader(header.name(), header.value());
            }
        }
    }

    @Override
    public void body(byte[] bytes) {
        if (over) {
            return;
        }
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            connectionClosed();
        }
    }

    @Override
    public void end() {
        if (over) {
            return;
        }
        over = true;
        response.resume();
    }

    @Override
    public void abort() {
        over = true;
        connection.closeSilently();
    }

    @Override
    public boolean writable() {
        return over || out.canWrite();
    }

    @Override
    public void whenWritable(Runnable ready) {
        out.notifyCanWrite(
                new WriteHandler() {
                    @Override
                    public void onWritePossible() {
                        ready.run();
                    }

                    @Override
                    public void onError(Throwable cause) {
                        connectionClosed();
                    }
                });
    }

    @Override
    public void whenGone(Runnable action) {
        gone.set(action);
    }

    private void connectionClosed() {
        if (!over) {
            over = true;
            gone.getAndSet(() -> {}).run();
        }
    }
}
