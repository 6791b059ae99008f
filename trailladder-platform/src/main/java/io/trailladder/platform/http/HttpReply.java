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

import java.nio.charset.StandardCharsets;

/**
 * A complete answer of an HTTP server.
 *
 * @param status HTTP status
 * @param contentType the {@code Content-Type}; empty if none
 * @param body the body
 * @since 0.1
 */
public record HttpReply(int status, String contentType, byte[] body) {
    /**
     * Returns the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
