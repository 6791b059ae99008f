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
package io.trailladder.core.claim;

/**
 * The right of one entry to send one request to an upstream, once.
 *
 * @param key names the request
 * @param fingerprint hash of the request's content, to tell a key that is used for something else
 * @param holder the entry that may send it
 * @param requestId the request's name at the holder
 * @param expiresMillis when the claim may be forgotten, in milliseconds since 1970
 * @since 0.1
 */
public record Claim(
        ClaimKey key, long fingerprint, String holder, String requestId, long expiresMillis) {}
