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

/**
 * Receives an answer while it arrives. One of {@link #ended}, {@link #endedUnframed} and {@link
 * #failed} is called last, once, unless the call is cancelled.
 *
 * @since 0.2
 */
public interface CallListener {
    /**
     * Returns whether the call is still wanted. Called once a connection is available, right before
     * the first byte of the request would be sent. Opening the connection may have taken so long
     * that the facts behind the decision to make the call have changed.
     *
     * @return false to end the call with {@link CallFailure#WITHHELD}
     */
    default boolean isWanted() {
        return true;
    }

    /**
     * Called when a new connection was opened for the call; not if one is reused.
     *
     * @param peer the peer that relays the connection; empty if it is direct
     */
    default void connected(Optional<String> peer) {}

    /** Called once before the first byte of the request may be sent. */
    default void sending() {}

    /**
     * Called when the answer begins.
     *
     * @param status HTTP status
     * @param headers all header fields
     * @param length length of the body in bytes; below 0 if not given
     */
    void head(int status, HeaderList headers, long length);

    /**
     * Called for each part of the body.
     *
     * @param bytes the part
     */
    void body(byte[] bytes);

    /** Called when the answer is complete by its length or chunks, or has no body. */
    void ended();

    /**
     * Called when an answer with neither a length nor chunks has ended with an orderly close of its
     * connection. It may be incomplete: the connections of a killed server are closed in the same
     * way.
     */
    void endedUnframed();

    /**
     * Called when the answer will never be complete.
     *
     * @param failure how it failed
     */
    void failed(CallFailure failure);
}
