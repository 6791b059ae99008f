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
package io.trailladder.core.upstream;

/**
 * A caller's request for a stream, a new one or one that it resumes.
 *
 * @param service the service
 * @param route the route's name
 * @param attempt the id of the caller's attempt that brings, or brought, the first event; empty if
 *     a caller that resumes a stream does not name it
 * @param deadlineMillis when the caller stops waiting, on the monotonic clock, in milliseconds;
 *     {@link #NO_DEADLINE} if it does not say
 * @since 0.8
 */
public record StreamCall(String service, String route, String attempt, long deadlineMillis) {
    /** The deadline of a caller that does not say how long it waits. */
    public static final long NO_DEADLINE = Long.MIN_VALUE;

    /**
     * Returns whether the caller says how long it waits.
     *
     * @return true if it does
     */
    public boolean hasDeadline() {
        return deadlineMillis != NO_DEADLINE;
    }
}
