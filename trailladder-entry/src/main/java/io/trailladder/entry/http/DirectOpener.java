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

import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.loop.LoopTimer;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.glassfish.grizzly.Connection;

/** Opens connections to the server itself. */
final class DirectOpener implements ConnectionOpener {
    private final EventLoop loop;

    DirectOpener(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public Runnable open(OutgoingCall call, Filters filters, Listener listener) {
        Attempt attempt = new Attempt(listener);
        attempt.timeout = loop.schedule(call.connectTimeoutMillis(), attempt::timedOut);
        attempt.cancelConnect =
                loop.connect(
                        new InetSocketAddress(call.target().host(), call.target().port()),
                        filters.direct(),
                        attempt::opened,
                        cause -> loop.execute(attempt::refused));
        return attempt::cancel;
    }

    /** One attempt to open a connection. */
    private static final class Attempt {
        private final Listener listener;
        private LoopTimer timeout;
        private Runnable cancelConnect = () -> {};
        private boolean over;

        Attempt(Listener listener) {
            this.listener = listener;
        }

        void opened(Connection<?> connection) {
            if (over) {
                connection.terminateSilently();
                return;
            }
            end();
            listener.opened(connection, Optional.empty());
        }

        void refused() {
            if (!over) {
                end();
                listener.failed(CallFailure.UNREACHABLE);
            }
        }

        void timedOut() {
            if (!over) {
                cancel();
                listener.failed(CallFailure.CONNECT_TIMEOUT);
            }
        }

        void cancel() {
            if (!over) {
                end();
                cancelConnect.run();
            }
        }

        private void end() {
            over = true;
            timeout.cancel();
        }
    }
}
