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
 * Decides whether answers that their callers do not read are continued.
 *
 * @since 0.2
 */
public interface UnreadAnswers {
    /** Ends answers of which nothing is read for the idle limit, and none because of their size. */
    UnreadAnswers IDLE_ONLY =
            new UnreadAnswers() {
                @Override
                public void overBound(ServerExchange exchange) {}

                @Override
                public void noRoom(ServerExchange exchange) {
                    exchange.cut();
                }

                @Override
                public void idle(ServerExchange exchange, long idleMillis) {
                    exchange.cut();
                }
            };

    /**
     * Called when the unsent part of an answer exceeds the limit per request, again after each
     * further piece.
     *
     * @param exchange the request
     */
    void overBound(ServerExchange exchange);

    /**
     * Called when the memory budget has no room for a further piece of an answer. The answer must
     * be ended within this call, since the piece is lost.
     *
     * @param exchange the request
     */
    void noRoom(ServerExchange exchange);

    /**
     * Called when nothing of an answer was read for the idle limit, repeatedly until the answer
     * ends.
     *
     * @param exchange the request
     * @param idleMillis for how long nothing was read, in milliseconds
     */
    void idle(ServerExchange exchange, long idleMillis);
}
