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
    /** No connection could be made, so the request did not run. */
    UNREACHABLE(false),
    /** The attempt was stopped before any byte of the request had left. */
    NOT_SENT(false),
    /** The upstream answered that it did not run the request. */
    NOT_EXECUTED(false),
    /** Another upstream has the address and did not run the request. */
    MISDIRECTED(false),
    /** The connection ended, or the answer was malformed; the request may have run. */
    BROKEN(true),
    /**
     * The connection was lost by this process or by the peer that relayed it, or although the
     * upstream can be reached. The upstream has not ended; the request may have run.
     */
    PATH_LOST(true),
    /** The upstream answered that it failed, or does not resume a stream; the request ran. */
    SERVER_ERROR(true),
    /** The upstream sent more bytes than an answer or an event may have, without its end. */
    OVERSIZED(true),
    /** This process has too little memory for the answer; the attempt was stopped. */
    NO_MEMORY(true),
    /** The upstream is leaving before it can finish; the attempt was stopped. */
    LEAVING(true),
    /** The upstream did not respond in time; the attempt was stopped. */
    SILENT(true);

    private final boolean mayHaveRun;

    AttemptFailure(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the upstream may have run the request.
     *
     * @return false only if it certainly did not
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns whether the failure counts against the upstream.
     *
     * @return false if this process or the path to the upstream caused it, or the upstream
     *     announced it
     */
    public boolean isUpstreamFault() {
        return this != NOT_SENT && this != LEAVING && this != PATH_LOST && this != NO_MEMORY;
    }

    /**
     * Returns the failure of an attempt of which no byte was sent.
     *
     * @return this failure if the request certainly did not run, else {@link #NOT_SENT}
     */
    public AttemptFailure beforeSending() {
        return mayHaveRun ? NOT_SENT : this;
    }
}
