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
 * Is told of an answer while it arrives. Either {@link #ended} or {@link #failed} comes last, once.
 *
 * @since 0.1
 */
public interface HttpListener {
    /**
     * The answer begins.
     *
     * @param status HTTP status
     * @param contentType the {@code Content-Type}; empty if none
     */
    void head(int status, String contentType);

    /**
     * A part of the body came.
     *
     * @param bytes the part
     */
    void body(byte[] bytes);

    /** The answer is whole. */
    void ended();

    /**
     * The answer will never be whole.
     *
     * @param failure why, and whether the request may have reached the server
     */
    void failed(HttpFailureException failure);
}
