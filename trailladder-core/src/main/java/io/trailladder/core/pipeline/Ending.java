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
 * How a request ends that gets no whole answer from an upstream.
 *
 * @since 0.2
 */
public enum Ending {
    /** It has not run and never will; the caller is told when to come back. */
    NOT_RUN(503),
    /** It is over its organisation's limit and has not run. */
    OVER_LIMIT(429),
    /** It may have run. */
    MAY_HAVE_RUN(502),
    /** Its time is over and it may have run. */
    TIMED_OUT(504),
    /** The answer had begun and is broken off so that it does not look whole. */
    BROKEN_OFF(0),
    /** The failed answer of the upstream is passed on as it is. */
    PASSED_ON(0);

    private final int status;

    Ending(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status that tells the caller.
     *
     * @return the status; 0 if no answer of ours is sent
     */
    public int status() {
        return status;
    }
}
