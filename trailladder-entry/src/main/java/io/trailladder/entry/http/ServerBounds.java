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
 * The limits of what an HTTP server reads.
 *
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time for receiving a request head, in milliseconds
 * @param idleTimeoutMillis maximum idle time of a connection, also within a request body or an
 *     answer, in milliseconds
 * @since 0.2
 */
public record ServerBounds(int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
