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
package io.trailladder.entry.gateway;

import io.trailladder.entry.http.HeaderList;

/** How an answer tells where its body ends. */
enum AnswerFraming {
    /** Its length is given. */
    LENGTH,
    /** It comes in chunks, or another transfer encoding. */
    CHUNKS,
    /** It has neither, and ends with its connection. */
    CONNECTION;

    /**
     * Returns the framing of an answer.
     *
     * @param headers its header fields
     * @param length the length of its body in bytes; below 0 if not given
     */
    static AnswerFraming of(HeaderList headers, long length) {
        if (length >= 0) {
            return LENGTH;
        }
        return headers.first("Transfer-Encoding").isPresent() ? CHUNKS : CONNECTION;
    }
}
