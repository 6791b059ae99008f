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
package io.trailladder.entry.serve;

import io.trailladder.wire.PeerMessage.Header;
import java.util.List;

/**
 * Receives an answer: a caller's connection, or a peer that forwards the answer. Its methods do not
 * block and may be called from any thread, but not concurrently.
 *
 * @since 0.1
 */
public interface CallerSink {
    /**
     * Sends the status and the headers of the answer.
     *
     * @param status HTTP status
     * @param headers HTTP headers
     */
    void head(int status, List<Header> headers);

    /**
     * Sends a part of the body.
     *
     * @param bytes the part
     */
    void body(byte[] bytes);

    /** Ends a complete answer. */
    void end();

    /** Aborts the answer, so that the caller can tell that it is incomplete. */
    void abort();

    /**
     * Returns whether more can be sent without accumulating in memory.
     *
     * @return false while the receiver does not read fast enough
     */
    boolean writable();

    /**
     * Registers an action to run when {@link #writable} becomes true.
     *
     * @param ready run at most once
     */
    void whenWritable(Runnable ready);

    /**
     * Registers an action to run when the receiver disconnects before the end of the answer.
     *
     * @param action run at most once
     */
    void whenDisconnected(Runnable action);
}
