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
package io.trailladder.core.routing;

/**
 * An engine's report of its load at some moment, which is already outdated when it arrives.
 *
 * @param running sequences being generated
 * @param slots sequences that the engine can generate at once
 * @param waiting sequences that wait for a slot
 * @param queuedPromptTokens prompt tokens not yet computed
 * @param prefillTokensPerSecond prompt tokens that the engine computes per second
 * @param tokenMillis time between two tokens of one sequence, in milliseconds
 * @since 0.1
 */
public record LoadReport(
        int running,
        int slots,
        int waiting,
        int queuedPromptTokens,
        int prefillTokensPerSecond,
        int tokenMillis) {
    /** The load that is assumed for an engine that has not reported yet. */
    public static final LoadReport UNKNOWN = new LoadReport(0, 32, 0, 0, 8_000, 25);
}
