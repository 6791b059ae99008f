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

import java.util.List;
import java.util.Map;

/**
 * What a {@link ClaimRegistry} wants done.
 *
 * @since 0.1
 */
public sealed interface ClaimAction {
    /**
     * Answer the entry that asked.
     *
     * @param holder the entry that asked
     * @param requestId its request's name
     * @param reply the answer
     */
    record Answer(String holder, String requestId, ClaimReply reply) implements ClaimAction {}

    /**
     * Ask the backup to keep a claim.
     *
     * @param backup the backup's name
     * @param range the range
     * @param epoch the epoch under which the owner acts
     * @param claim the claim
     */
    record CopyClaim(String backup, int range, long epoch, Claim claim) implements ClaimAction {}

    /**
     * Tell the owner whether the backup keeps a claim.
     *
     * @param owner the owner's name
     * @param range the range
     * @param epoch the epoch named in the copy
     * @param key the claim's key
     * @param requestId the claim's request
     * @param kept true if the backup keeps it and no later owner can exist
     */
    record CopyAnswer(
            String owner, int range, long epoch, ClaimKey key, String requestId, boolean kept)
            implements ClaimAction {}

    /**
     * Send the backup all claims of a range.
     *
     * @param backup the backup's name
     * @param range the range
     * @param epoch the epoch
     * @param claims the claims
     */
    record SendAll(String backup, int range, long epoch, List<Claim> claims)
            implements ClaimAction {
        /** Copies the claims. */
        public SendAll {
            claims = List.copyOf(claims);
        }
    }

    /**
     * Tell the owner that the backup has all claims of a range.
     *
     * @param owner the owner's name
     * @param range the range
     * @param epoch the epoch
     */
    record AllKept(String owner, int range, long epoch) implements ClaimAction {}

    /**
     * Change assignments by compare-and-swap of the whole map.
     *
     * @param expected the map the change was planned on
     * @param changes the new assignments by range
     */
    record Propose(RangeMap expected, Map<Integer, RangeAssignment> changes)
            implements ClaimAction {
        /** Copies the changes. */
        public Propose {
            changes = Map.copyOf(changes);
        }
    }
}
