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
 * An action that a {@link ClaimRegistry} returns for its caller to carry out.
 *
 * @since 0.1
 */
public sealed interface ClaimAction {
    /**
     * Replies to the entry that requested a claim.
     *
     * @param holder the entry that requested the claim
     * @param requestId the id of its request
     * @param reply the reply
     */
    record Answer(String holder, String requestId, ClaimReply reply) implements ClaimAction {}

    /**
     * Requests the backup to keep a copy of a claim.
     *
     * @param backup the backup's name
     * @param range the range
     * @param epoch the epoch under which the owner acts
     * @param claim the claim
     */
    record CopyClaim(String backup, int range, long epoch, Claim claim) implements ClaimAction {}

    /**
     * Reports to the owner whether the backup keeps a copy of a claim.
     *
     * @param owner the owner's name
     * @param range the range
     * @param epoch the epoch named in the request for the copy
     * @param key the claim's key
     * @param requestId the id of the claim's request
     * @param kept true if the backup keeps the copy and no later owner can exist
     */
    record CopyAnswer(
            String owner, int range, long epoch, ClaimKey key, String requestId, boolean kept)
            implements ClaimAction {}

    /**
     * Sends all claims of a range to the backup.
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
     * Reports to the owner that the backup has all claims of a range.
     *
     * @param owner the owner's name
     * @param range the range
     * @param epoch the epoch
     */
    record AllKept(String owner, int range, long epoch) implements ClaimAction {}

    /**
     * Changes assignments by compare-and-swap of the whole map.
     *
     * @param expected the map that the change is based on
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
