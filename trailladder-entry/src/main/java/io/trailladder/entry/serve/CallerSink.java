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
 * Is where an answer goes: a caller's connection, or a peer that passes it on. Its methods do not
 * block and may be called from any thread, one at a time.
 *
 * @since 0.1
 */
public interface CallerSink {
    /**
     * Begins the answer.
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

    /** Ends a whole answer. */
    void end();

    /** Breaks the answer off, so that the caller sees that it is not whole. */
    void abort();

    /**
     * Tells whether more may be sent without piling up.
     *
     * @return false while the receiver does not read
     */
    boolean writable();

    /**
     * Asks to be told when {@link #writable} turns true.
     *
     * @param ready called at most once
     */
    void whenWritable(Runnable ready);

    /**
     * Asks to be told when the receiver is gone before the end.
     *
     * @param gone called at most once
     */
    void whenDisconnected(Runnable gone);
}
