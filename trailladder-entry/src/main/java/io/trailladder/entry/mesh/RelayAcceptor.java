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
package io.trailladder.entry.mesh;

import io.trailladder.wire.NodeMessage.RelayRequest;
import org.glassfish.grizzly.Connection;

/**
 * Accepts connections whose bytes are to be relayed to an upstream.
 *
 * @since 0.7
 */
@FunctionalInterface
public interface RelayAcceptor {
    /**
     * Called with the first message of a connection.
     *
     * @param connection the peer's connection, to be answered and closed by the acceptor
     * @param request the request
     * @return receives the bytes that follow
     */
    RelayTarget accept(Connection<?> connection, RelayRequest request);
}
