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

import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.serve.CallerSink;
import io.trailladder.wire.PeerMessage.Header;
import java.util.List;

/**
 * Sends an answer over the connection of a caller. Calls from any thread are carried out on the
 * event loop's thread, in the order of the calls.
 *
 * @since 0.2
 */
final class ExchangeSink implements CallerSink {
    private static final String LENGTH = "Content-Length";

    private final EventLoop loop;
    private final ServerExchange exchange;

    /** Creates the sink of a request. Must be called on the loop's thread. */
    ExchangeSink(EventLoop loop, ServerExchange exchange) {
        this.loop = loop;
        this.exchange = exchange;
    }

    @Override
    public void head(int status, List<Header> headers) {
        HeaderList fields = HeaderList.EMPTY;
        long length = -1;
        for (Header header : headers) {
            if (header.name().equals(LENGTH)) {
                length = Long.parseLong(header.value());
            } else {
                fields = fields.with(header.name(), header.value());
            }
        }
        begin(status, fields, length);
    }

    private void begin(int status, HeaderList fields, long length) {
        loop.execute(
                () -> {
                    if (!exchange.isOver()) {
                        exchange.begin(status, fields, length);
                    }
                });
    }

    @Override
    public void body(byte[] bytes) {
        loop.execute(() -> exchange.write(bytes));
    }

    @Override
    public void end() {
        loop.execute(exchange::end);
    }

    @Override
    public void abort() {
        loop.execute(exchange::abort);
    }

    @Override
    public boolean writable() {
        return exchange.isOver() || exchange.isWritable();
    }

    @Override
    public void whenWritable(Runnable ready) {
        loop.execute(() -> exchange.whenWritable(ready));
    }

    @Override
    public void whenDisconnected(Runnable action) {
        loop.execute(() -> exchange.onDisconnect(action));
    }
}
