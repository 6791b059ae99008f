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

import io.trailladder.core.claim.ClaimAction.AllKept;
import io.trailladder.core.claim.ClaimAction.Answer;
import io.trailladder.core.claim.ClaimAction.CopyAnswer;
import io.trailladder.core.claim.ClaimAction.CopyClaim;
import io.trailladder.core.claim.ClaimAction.SendAll;
import io.trailladder.core.claim.ClaimReply.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which entry may send a request that must run at most once, for the ranges that this entry
 * owns, and keeps the copies of the ranges that this entry is the backup of.
 *
 * <p>An owner grants a claim only after its backup has stored a copy under the same epoch. A backup
 * that is to take over a range first stops storing copies for the epoch, and only then proposes the
 * next one. An owner that was paused therefore cannot grant any claim after it was replaced,
 * however long the pause, and the decision depends on no timeout.
 *
 * @since 0.1
 */
public final class ClaimRegistry {
    private final String self;
    private final int capacity;
    private final long maxMapAgeMillis;
    private final Map<Integer, RangeState> states = new HashMap<>();
    private RangeMap map;
    private int size;
    private long mapReadMillis;

    /** The state of one range at this entry. */
    private static final class RangeState {
        final Map<ClaimKey, Claim> claims = new HashMap<>();
        final Map<ClaimKey, Pending> pending = new HashMap<>();
        long sealedEpoch = -1;
        long completeEpoch = -1;
        long backupCompleteEpoch = -1;
    }

    /** A claim whose copy is not yet confirmed, and later requests for the same key. */
    private record Pending(Claim claim, List<Claim> followers) {}

    /**
     * Creates a registry.
     *
     * @param self this entry's name
     * @param ranges number of ranges that the keys are split into
     * @param capacity maximum number of claims to keep; further claims are refused
     * @param retentionMillis time for which claims are kept, in milliseconds; an owner that has not
     *     read the map for half of it grants nothing, so that after a long pause it cannot grant a
     *     claim when its successor no longer treats unknown keys as possibly claimed
     */
    public ClaimRegistry(String self, int ranges, int capacity, long retentionMillis) {
        this.self = self;
        this.map = RangeMap.fresh(ranges);
        this.capacity = capacity;
        this.maxMapAgeMillis = retentionMillis / 2;
    }

    /**
     * Returns the newest known map.
     *
     * @return the map
     */
    public RangeMap map() {
        return map;
    }

    /**
     * Applies a map that was read from the platform or received from a peer.
     *
     * @param newer the map; assignments with epochs no higher than the known ones are ignored
     * @param readMillis when it was read from the platform, in milliseconds since 1970; 0 if it was
     *     received from a peer
     * @return the actions to carry out
     */
    public List<ClaimAction> updateMap(RangeMap newer, long readMillis) {
        mapReadMillis = Math.max(mapReadMillis, readMillis);
        List<ClaimAction> actions = new ArrayList<>();
        Map<Integer, RangeAssignment> changes = new HashMap<>();
        for (int range = 0; range < map.ranges().size(); range++) {
            RangeAssignment next = newer.get(range);
            if (next.epoch() > map.get(range).epoch()) {
                changes.put(range, next);
                assigned(range, next, actions);
            }
        }
        map = map.with(changes);
        return actions;
    }

    /**
     * Handles an entry's request for a claim.
     *
     * @param requested the requested claim
     * @param nowMillis the current time, in milliseconds since 1970
     * @return the actions to carry out
     */
    public List<ClaimAction> request(Claim requested, long nowMillis) {
        int range = requested.key().range(map.ranges().size());
        RangeAssignment assignment = map.get(range);
        RangeState state = state(range);
        boolean fresh = nowMillis - mapReadMillis < maxMapAgeMillis;
        if (!assignment.owner().equals(self) || sealed(state, assignment) || !fresh) {
            return answer(requested, Verdict.UNAVAILABLE);
        }
        Claim first = state.claims.get(requested.key());
        if (first != null && first.expiresMillis() > nowMillis) {
            return repeated(first, requested);
        }
        if (assignment.unknownUntilMillis() > nowMillis) {
            return answer(requested, Verdict.UNKNOWN);
        }
        Pending pending = state.pending.get(requested.key());
        if (pending != null) {
            pending.followers().add(requested);
            return List.of();
        }
        if (size >= capacity) {
            return answer(requested, Verdict.UNAVAILABLE);
        }
        return claim(range, assignment, state, requested);
    }

    /**
     * Handles, as backup, the request to keep a copy of a claim.
     *
     * @param owner the owner
     * @param range the range
     * @param epoch the epoch under which the owner acts
     * @param claim the claim
     * @return the actions to carry out
     */
    public List<ClaimAction> copyClaim(String owner, int range, long epoch, Claim claim) {
        RangeState state = state(range);
        boolean keeps =
                state.completeEpoch == epoch
                        && state.sealedEpoch < epoch
                        && map.get(range).epoch() <= epoch;
        if (keeps) {
            put(state, claim);
        }
        return List.of(new CopyAnswer(owner, range, epoch, claim.key(), claim.requestId(), keeps));
    }

    /**
     * Handles, as owner, the backup's answer on whether it keeps a claim.
     *
     * @param answer the backup's answer
     * @return the actions to carry out
     */
    public List<ClaimAction> copyAnswered(CopyAnswer answer) {
        RangeState state = state(answer.range());
        Pending pending = state.pending.get(answer.key());
        if (pending == null || !pending.claim().requestId().equals(answer.requestId())) {
            return List.of();
        }
        state.pending.remove(answer.key());
        RangeAssignment assignment = map.get(answer.range());
        boolean current =
                assignment.owner().equals(self)
                        && assignment.epoch() == answer.epoch()
                        && !sealed(state, assignment);
        return answer.kept() && current ? granted(state, pending) : unavailable(pending);
    }

    /**
     * Removes a claim whose holder no longer waits for a reply, so that the key can be claimed
     * again.
     *
     * <p>May be called only for a claim that was certainly not used, as reported by the holder
     * itself.
     *
     * @param key the claim's key
     * @param requestId the id of the claim's request
     */
    public void release(ClaimKey key, String requestId) {
        RangeState state = state(key.range(map.ranges().size()));
        state.pending.computeIfPresent(
                key,
                (k, pending) -> pending.claim().requestId().equals(requestId) ? null : pending);
        Claim claim = state.claims.get(key);
        if (claim != null && claim.requestId().equals(requestId)) {
            state.claims.remove(key);
            size--;
        }
    }

    /**
     * Stores, as backup, all claims of a range.
     *
     * @param owner the owner, which sends them
     * @param range the range
     * @param epoch the epoch under which the owner acts
     * @param claims the claims
     * @return the actions to carry out
     */
    public List<ClaimAction> receiveAll(String owner, int range, long epoch, List<Claim> claims) {
        RangeState state = state(range);
        if (map.get(range).epoch() > epoch || state.sealedEpoch >= epoch) {
            return List.of();
        }
        claims.forEach(claim -> put(state, claim));
        state.completeEpoch = epoch;
        return List.of(new AllKept(owner, range, epoch));
    }

    /**
     * Records, as owner, that the backup has all claims of a range.
     *
     * @param range the range
     * @param epoch the epoch that the backup confirms
     */
    public void allKept(int range, long epoch) {
        RangeState state = state(range);
        state.backupCompleteEpoch = Math.max(state.backupCompleteEpoch, epoch);
    }

    /**
     * Returns the actions that send all claims again, for each owned range whose backup has not
     * confirmed that it has them.
     *
     * @return the actions to carry out
     */
    public List<ClaimAction> sendMissingCopies() {
        List<ClaimAction> actions = new ArrayList<>();
        for (int range = 0; range < map.ranges().size(); range++) {
            RangeAssignment assignment = map.get(range);
            boolean owned = assignment.owner().equals(self) && !assignment.backup().isEmpty();
            if (owned && state(range).backupCompleteEpoch < assignment.epoch()) {
                actions.add(sendAll(range, assignment));
            }
        }
        return actions;
    }

    /**
     * Stops granting claims and storing copies for the ranges that a proposal changes, in their
     * present epochs. Must be called before the proposal is made.
     *
     * @param proposal the proposal
     */
    public void seal(ClaimAction.Propose proposal) {
        for (int range : proposal.changes().keySet()) {
            RangeState state = state(range);
            state.sealedEpoch = Math.max(state.sealedEpoch, map.get(range).epoch());
            state.pending.clear();
        }
    }

    /**
     * Returns whether a range is sealed in its present epoch.
     *
     * @param range the range
     * @return true from {@link #seal} until an assignment with a higher epoch is read
     */
    public boolean sealed(int range) {
        return sealed(state(range), map.get(range));
    }

    /**
     * Returns, as owner, whether the backup has confirmed that it has all claims of a range.
     *
     * @param range the range
     * @return true if the backup can become owner without losing claims
     */
    public boolean backupComplete(int range) {
        return state(range).backupCompleteEpoch == map.get(range).epoch();
    }

    /**
     * Returns whether this entry has every claim of a range that was ever granted.
     *
     * @param range the range
     * @return true for an owner, and for a backup that has received all claims
     */
    public boolean complete(int range) {
        return state(range).completeEpoch == map.get(range).epoch();
    }

    /**
     * Removes expired claims.
     *
     * @param nowMillis the current time, in milliseconds since 1970
     */
    public void expire(long nowMillis) {
        for (RangeState state : states.values()) {
            int before = state.claims.size();
            state.claims.values().removeIf(claim -> claim.expiresMillis() <= nowMillis);
            size -= before - state.claims.size();
        }
    }

    /**
     * Returns the number of claims that are kept.
     *
     * @return the number over all ranges
     */
    public int size() {
        return size;
    }

    private void assigned(int range, RangeAssignment next, List<ClaimAction> actions) {
        RangeState state = state(range);
        state.pending.clear();
        if (next.owner().equals(self)) {
            state.completeEpoch = next.epoch();
            if (!next.backup().isEmpty()) {
                actions.add(sendAll(range, next));
            }
            return;
        }
        if (!next.backup().equals(self)) {
            size -= state.claims.size();
            state.claims.clear();
        }
    }

    private List<ClaimAction> claim(
            int range, RangeAssignment assignment, RangeState state, Claim requested) {
        if (assignment.backup().isEmpty()) {
            put(state, requested);
            return answer(requested, Verdict.GRANTED);
        }
        if (state.backupCompleteEpoch != assignment.epoch()) {
            return answer(requested, Verdict.UNAVAILABLE);
        }
        state.pending.put(requested.key(), new Pending(requested, new ArrayList<>()));
        return List.of(new CopyClaim(assignment.backup(), range, assignment.epoch(), requested));
    }

    private List<ClaimAction> granted(RangeState state, Pending pending) {
        put(state, pending.claim());
        List<ClaimAction> actions = new ArrayList<>(answer(pending.claim(), Verdict.GRANTED));
        for (Claim follower : pending.followers()) {
            actions.addAll(repeated(pending.claim(), follower));
        }
        return actions;
    }

    private static List<ClaimAction> unavailable(Pending pending) {
        List<ClaimAction> actions = new ArrayList<>(answer(pending.claim(), Verdict.UNAVAILABLE));
        for (Claim follower : pending.followers()) {
            actions.addAll(answer(follower, Verdict.UNAVAILABLE));
        }
        return actions;
    }

    private static List<ClaimAction> repeated(Claim first, Claim requested) {
        if (first.fingerprint() != requested.fingerprint()) {
            return answer(requested, Verdict.MISMATCH);
        }
        ClaimReply reply = new ClaimReply(Verdict.DUPLICATE, first.holder(), first.requestId());
        return List.of(new Answer(requested.holder(), requested.requestId(), reply));
    }

    private SendAll sendAll(int range, RangeAssignment assignment) {
        List<Claim> claims = List.copyOf(state(range).claims.values());
        return new SendAll(assignment.backup(), range, assignment.epoch(), claims);
    }

    private void put(RangeState state, Claim claim) {
        if (state.claims.put(claim.key(), claim) == null) {
            size++;
        }
    }

    private RangeState state(int range) {
        return states.computeIfAbsent(range, r -> new RangeState());
    }

    private static boolean sealed(RangeState state, RangeAssignment assignment) {
        return state.sealedEpoch >= assignment.epoch();
    }

    private static List<ClaimAction> answer(Claim requested, Verdict verdict) {
        return List.of(
                new Answer(requested.holder(), requested.requestId(), ClaimReply.of(verdict)));
    }
}
