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
 * The owner's reply to an entry that requests a claim.
 *
 * @param verdict the decision
 * @param holder for {@link Verdict#DUPLICATE}, the entry that holds the first claim
 * @param requestId for {@link Verdict#DUPLICATE}, the id of the first request at its holder
 * @since 0.1
 */
public record ClaimReply(Verdict verdict, String holder, String requestId) {
    /** The owner's decision. */
    public enum Verdict {
        /** The requesting entry, and no other, may send the request once. */
        GRANTED,
        /** The key was claimed before. */
        DUPLICATE,
        /** The key was claimed before for a request with different content. */
        MISMATCH,
        /** The key may have been claimed from an owner that was lost. */
        UNKNOWN,
        /** The entry cannot decide now; the claim was granted to no entry. */
        UNAVAILABLE
    }

    /**
     * Creates a reply that names no earlier request.
     *
     * @param verdict the decision
     * @return the reply
     */
    public static ClaimReply of(Verdict verdict) {
        return new ClaimReply(verdict, "", "");
    }
}
