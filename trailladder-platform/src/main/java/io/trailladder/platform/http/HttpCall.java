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
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A request to an HTTP server.
 *
 * @param target the server
 * @param method HTTP method
 * @param path path with query
 * @param headers HTTP headers
 * @param body the body; empty for none
 * @param idleTimeoutMillis maximum time without bytes from the server before the call fails, in
 *     milliseconds
 * @since 0.1
 */
public record HttpCall(
        HostPort target,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long idleTimeoutMillis) {
    /**
     * Creates a call without body.
     *
     * @param target the server
     * @param path path with query
     * @param idleTimeoutMillis maximum time without bytes from the server, in milliseconds
     * @return the call
     */
    public static HttpCall get(HostPort target, String path, long idleTimeoutMillis) {
        return new HttpCall(target, "GET", path, Map.of(), new byte[0], idleTimeoutMillis);
    }

    /**
     * Creates a call with a JSON body.
     *
     * @param target the server
     * @param path path with query
     * @param json the body
     * @param idleTimeoutMillis maximum time without bytes from the server, in milliseconds
     * @return the call
     */
    public static HttpCall post(HostPort target, String path, String json, long idleTimeoutMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        return new HttpCall(target, "POST", path, headers, body, idleTimeoutMillis);
    }
}
