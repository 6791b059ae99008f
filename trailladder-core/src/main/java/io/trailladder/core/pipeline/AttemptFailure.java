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
package io.trailladder.core.pipeline;

/**
 * How one attempt of a request at an upstream failed.
 *
 * @since 0.2
 */
public enum AttemptFailure {
    /** No connection came about, so the request did not run. */
    UNREACHABLE(false),
    /** The attempt was stopped before any byte of the request had left. */
    NOT_SENT(false),
    /** The upstream said that it did not run the request. */
    NOT_EXECUTED(false),
    /** Another upstream has the address and did not run the request. */
    MISDIRECTED(false),
    /** The connection ended, or the bytes were no answer; the request may have run. */
    BROKEN(true),
    /** The upstream said that it failed; the request ran. */
    SERVER_ERROR(true),
    /** The upstream leaves before it can finish; the attempt was stopped. */
    LEAVING(true),
    /** The upstream was silent for too long; the attempt was stopped. */
    SILENT(true);

    private final boolean mayHaveRun;

    AttemptFailure(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether the upstream may have run the request.
     *
     * @return false only if it certainly did not
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns how an attempt failed of which no byte had left.
     *
     * @return this failure if it certainly did not run the request, else {@link #NOT_SENT}
     */
    public AttemptFailure beforeSending() {
        return mayHaveRun ? NOT_SENT : this;
    }
}
