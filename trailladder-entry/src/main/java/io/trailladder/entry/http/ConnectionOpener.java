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

import java.util.List;
import java.util.Optional;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;

/**
 * Opens a connection for each call that does not reuse one.
 *
 * @since 0.7
 */
@FunctionalInterface
public interface ConnectionOpener {
    /**
     * Opens a connection.
     *
     * @param call the call
     * @param filters the filters of the connection
     * @param listener receives the result, unless the attempt is cancelled
     * @return cancels the attempt
     */
    Runnable open(OutgoingCall call, Filters filters, Listener listener);

    /** Receives the result. Exactly one method is called, once. */
    interface Listener {
        /**
         * Called when the connection is open.
         *
         * @param connection the connection
         * @param peer the peer that relays it; empty if it is direct
         */
        void opened(Connection<?> connection, Optional<String> peer);

        /**
         * Called when no connection could be opened.
         *
         * @param failure the reason
         */
        void failed(CallFailure failure);
    }

    /**
     * The filters of connections.
     *
     * @param direct for a connection to the server
     * @param relayed for a connection to a peer that relays the bytes of the server
     */
    record Filters(FilterChain direct, FilterChain relayed) {
        /**
         * Creates the filters of both kinds of connections.
         *
         * @param http the filters that speak HTTP
         */
        Filters(List<Filter> http) {
            this(
                    FilterChainBuilder.stateless().add(new SocketFilter()).addAll(http).build(),
                    FilterChainBuilder.stateless()
                            .add(new SocketFilter())
                            .add(new RelayFilter())
                            .addAll(http)
                            .build());
        }
    }
}
