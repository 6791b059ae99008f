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
package io.trailladder.entry.http;

/**
 * The reason why a call got no complete answer.
 *
 * @since 0.2
 */
public enum CallFailure {
    /** A connection was refused or reset while it was opened; nothing was sent. */
    UNREACHABLE,
    /** No connection was opened within the timeout; nothing was sent. */
    CONNECT_TIMEOUT,
    /** A connection was available, but the call was no longer wanted; nothing was sent. */
    WITHHELD,
    /** The connection ended before the answer did. */
    BROKEN,
    /** The connection to the peer that relayed the call was lost before the answer ended. */
    RELAY_LOST
}
