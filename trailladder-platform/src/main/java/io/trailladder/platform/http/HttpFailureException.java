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
package io.trailladder.platform.http;

import io.trailladder.core.TrailladderException;

/**
 * Reports that a call ended without a complete answer.
 *
 * @since 0.1
 */
public class HttpFailureException extends TrailladderException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final boolean sent;

    /** The kind of a failure. */
    public enum Kind {
        /** No connection was established. */
        UNREACHABLE,
        /** The connection was closed before the end of the answer. */
        CUT,
        /** The server sent nothing within the idle timeout. */
        SILENT,
        /** The answer is not valid HTTP, or too large. */
        MALFORMED,
        /** The caller of the client cancelled the call. */
        CANCELLED
    }

    /**
     * Creates the exception.
     *
     * @param kind the kind of the failure
     * @param sent true if any byte of the request may have been sent
     * @param target the server
     */
    public HttpFailureException(Kind kind, boolean sent, HostPort target) {
        super(
                "call to "
                        + target
                        + " failed: "
                        + kind
                        + (sent ? " after" : " before")
                        + " sending");
        this.kind = kind;
        this.sent = sent;
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns whether the request may have reached the server.
     *
     * @return false only if certainly no byte was sent
     */
    public boolean sent() {
        return sent;
    }
}
