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
package io.trailladder.platform.http;

/**
 * Receives an answer while it arrives. The last call is either {@link #ended} or {@link #failed},
 * once.
 *
 * @since 0.1
 */
public interface HttpListener {
    /**
     * Called when the status and headers have arrived.
     *
     * @param status HTTP status
     * @param contentType the {@code Content-Type}; empty if none
     */
    void head(int status, String contentType);

    /**
     * Called when a part of the body has arrived.
     *
     * @param bytes the part
     */
    void body(byte[] bytes);

    /** Called when the answer is complete. */
    void ended();

    /**
     * Called when the call has ended without a complete answer.
     *
     * @param failure the reason, and whether the request may have reached the server
     */
    void failed(HttpFailureException failure);
}
