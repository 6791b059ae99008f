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
package io.trailladder.core.policy;

/**
 * Limits of what callers may send.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 * @param headerTimeoutMillis time within which a request head must be received, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 * @since 0.2
 */
public record RequestBounds(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits used before any policy is known. */
    public static final RequestBounds DEFAULTS =
            new RequestBounds(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
