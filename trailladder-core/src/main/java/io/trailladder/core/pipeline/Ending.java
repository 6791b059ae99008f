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
 * How a request without a complete answer from an upstream ends.
 *
 * @since 0.2
 */
public enum Ending {
    /** The request has not run and will not; the caller is told when to retry. */
    NOT_RUN(503),
    /** The request exceeds its organisation's limit and has not run. */
    OVER_LIMIT(429),
    /** The request may have run. */
    MAY_HAVE_RUN(502),
    /** The deadline of the request has passed and it may have run. */
    TIMED_OUT(504),
    /** The answer had started and is broken off in a way that does not look complete. */
    BROKEN_OFF(0),
    /** The failed answer of the upstream is forwarded unchanged. */
    PASSED_ON(0);

    private final int status;

    Ending(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status sent to the caller.
     *
     * @return the status; 0 if the system sends no answer of its own
     */
    public int status() {
        return status;
    }
}
