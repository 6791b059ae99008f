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

/**
 * Handles the requests of an HTTP server.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Handles a request that was read completely.
     *
     * @param exchange the request, to be answered now or later
     */
    void handle(ServerExchange exchange);

    /**
     * Answers a request of which only the head was read, if its body must not be read by this
     * server.
     *
     * @param exchange the request without its body
     * @return true if it was answered; its body is then dropped and its connection closed
     */
    default boolean answersWithoutBody(ServerExchange exchange) {
        return false;
    }

    /**
     * Answers a request that cannot be read completely.
     *
     * @param exchange the request without its body
     * @param status HTTP status: 400, 408, 413, or 503 if there is no memory for the rest of it
     */
    default void refuse(ServerExchange exchange, int status) {
        exchange.respond(status, HeaderList.EMPTY, new byte[0]);
    }
}
