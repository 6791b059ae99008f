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
package io.trailladder.core.request;

/**
 * What is certain about a request that received no complete answer.
 *
 * @since 0.1
 */
public enum Outcome {
    /** No byte of it was sent to any upstream, so that a retry is safe. */
    NOT_RUN("not-run"),
    /** An upstream may have run it. */
    UNKNOWN("unknown"),
    /** An upstream ran it. */
    RAN("ran");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /**
     * Returns the value of the {@code Trailladder-Outcome} header.
     *
     * @return {@code not-run}, {@code unknown} or {@code ran}
     */
    public String headerValue() {
        return headerValue;
    }
}
