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
package io.trailladder.entry.port;

import io.trailladder.core.pipeline.Prompt;

/**
 * The contents of the head of a caller's request, in the product's terms.
 *
 * @param id the request id given by the caller; empty if there is none
 * @param host the host it is for
 * @param path the path without its query
 * @param key the caller's key; empty if it sent none
 * @param waitMillis how long the caller waits, in milliseconds; 0 if not given
 * @param lastEventId the last event the caller received; empty if it does not resume a stream
 * @param resumes the request id of the attempt that brought the first event of the stream that it
 *     resumes; empty if not given
 * @param prompt the size of the prompt, as far as given
 * @since 0.2
 */
public record CallerRequest(
        String id,
        String host,
        String path,
        String key,
        long waitMillis,
        String lastEventId,
        String resumes,
        Prompt prompt) {}
