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
 * The right of one entry to send one request to an upstream at most once.
 *
 * @param key hash that identifies the request
 * @param fingerprint hash of the request's content, by which the reuse of a key for another request
 *     is detected
 * @param holder the entry that may send it
 * @param requestId the id of the request at the holder
 * @param expiresMillis time from which the claim may be dropped, in milliseconds since 1970
 * @since 0.1
 */
public record Claim(
        ClaimKey key, long fingerprint, String holder, String requestId, long expiresMillis) {}
