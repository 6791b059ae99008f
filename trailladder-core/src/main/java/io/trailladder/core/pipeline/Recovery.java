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
 * The action after a failed attempt.
 *
 * @since 0.2
 */
public sealed interface Recovery {
    /** The request is sent to another upstream from its beginning. */
    record Retry() implements Recovery {
        @Override
        public String toString() {
            return "retry elsewhere";
        }
    }

    /**
     * The stream is resumed at another upstream.
     *
     * @param lastEventId the last event that was sent to the caller
     */
    record Resume(String lastEventId) implements Recovery {
        @Override
        public String toString() {
            return "resume after " + lastEventId;
        }
    }

    /**
     * No further attempt is made.
     *
     * @param ending how the request ends
     */
    record GiveUp(Ending ending) implements Recovery {
        @Override
        public String toString() {
            return "give up, " + ending;
        }
    }
}
