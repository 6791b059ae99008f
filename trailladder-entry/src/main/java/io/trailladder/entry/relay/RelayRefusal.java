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
package io.trailladder.entry.relay;

/**
 * Why a peer does not connect this process to an upstream.
 *
 * @since 0.7
 */
public enum RelayRefusal {
    /** The peer reaches upstreams, but not this one. */
    UNREACHABLE,
    /** The peer itself reaches no upstream at present. */
    NO_PATH,
    /** The peer does not know the upstream. */
    UNKNOWN_UPSTREAM,
    /** The peer relays as many connections as it may. */
    FULL,
    /** The peer is stopping. */
    STOPPING,
    /** The peer did not answer in time, closed the connection, or gave an unknown reason. */
    NO_ANSWER;

    /** Returns whether the peer did not reach the upstream, rather than was not willing to. */
    boolean isMissingPath() {
        return this == UNREACHABLE || this == NO_PATH || this == NO_ANSWER;
    }

    /** Returns the reason of a name. */
    static RelayRefusal of(String name) {
        for (RelayRefusal reason : values()) {
            if (reason.name().equals(name)) {
                return reason;
            }
        }
        return NO_ANSWER;
    }
}
