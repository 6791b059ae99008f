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
 * Decides, for the ranges this entry owns, which entry may send a request that must run at most
 * once, and keeps the copies of the ranges this entry is backup of.
 *
 * <p>An owner grants a claim only after its backup has kept a copy under the same epoch. A backup
 * that wants to take a range over first stops keeping copies for the epoch, and only then proposes
 * the next one. So an owner that was paused cannot grant anything new after it was replaced,
 * however long it slept, and no time-out decides.
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

    /** What this entry keeps of one range. */
    private static final class RangeState {
        final Map<ClaimKey, Claim> claims = new HashMap<>();
        final Map<ClaimKey, Pending> pending = new HashMap<>();
        long sealedEpoch = -1;
        long completeEpoch = -1;
        long backupCompleteEpoch = -1;
    }

    /** A claim whose copy is not yet confirmed, and those who ask for the same key meanwhile. */
    private record Pending(Claim claim, List<Claim> followers) {}

    /**
     * Creates a registry.
     *
     * @param self this entry's name
     * @param ranges how many ranges the keys are split into
     * @param capacity how many claims it may keep; beyond, new ones are refused
     * @param retentionMillis how long claims are kept; an owner that has not read the map for half
     *     of it grants nothing, so that it cannot outsleep the time a successor waits for its
     *     claims
     */
    public ClaimRegistry(String self, int ranges, int capacity, long retentionMillis) {
        this.self = self;
        this.map = RangeMap.fresh(ranges);
        this.capacity = capacity;
        this.maxMapAgeMillis = retentionMillis / 2;
    }

    /**
     * Returns the newest map known.
     *
     * @return the map
     */
    public RangeMap map() {
        return map;
    }

    /**
     * Takes over a map read from the platform or heard from a peer.
     *
     * @param newer the map; assignments of lower epochs than known are passed over
     * @param readMillis when it was read from the platform, in milliseconds since 1970; 0 if it was
     *     heard from a peer
     * @return what is to be done
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
     * Answers an entry that wants to send a request.
     *
     * @param wanted the claim it asks for
     * @param nowMillis the time, in milliseconds since 1970
     * @return what is to be done
     */
    public List<ClaimAction> request(Claim wanted, long nowMillis) {
        int range = wanted.key().range(map.ranges().size());
        RangeAssignment assignment = map.get(range);
        RangeState state = state(range);
        boolean fresh = nowMillis - mapReadMillis < maxMapAgeMillis;
        if (!assignment.owner().equals(self) || sealed(state, assignment) || !fresh) {
            return answer(wanted, Verdict.UNAVAILABLE);
        }
        Claim first = state.claims.get(wanted.key());
        if (first != null && first.expiresMillis() > nowMillis) {
            return repeated(first, wanted);
        }
        if (assignment.unknownUntilMillis() > nowMillis) {
            return answer(wanted, Verdict.UNKNOWN);
        }
        Pending pending = state.pending.get(wanted.key());
        if (pending != null) {
            pending.followers().add(wanted);
            return List.of();
        }
        if (size >= capacity) {
            return answer(wanted, Verdict.UNAVAILABLE);
        }
        return claim(range, assignment, state, wanted);
    }

    /**
     * Is asked, as backup, to keep a claim.
     *
     * @param owner the entry that asks
     * @param range the range
     * @param epoch the epoch under which it acts
     * @param claim the claim
     * @return what is to be done
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
     * Is told, as owner, whether the backup keeps a claim.
     *
     * @param answer the backup's answer
     * @return what is to be done
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
     * Is told by the asker that it no longer waits for an answer, so that the key can be claimed
     * anew.
     *
     * <p>Only for claims that were certainly not used: the holder says so itself.
     *
     * @param key the claim's key
     * @param requestId the claim's request
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
     * Takes over, as backup, all claims of a range.
     *
     * @param owner the entry that sends them
     * @param range the range
     * @param epoch the epoch under which it acts
     * @param claims the claims
     * @return what is to be done
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
     * Is told, as owner, that the backup has all claims of a range.
     *
     * @param range the range
     * @param epoch the epoch it confirms
     */
    public void allKept(int range, long epoch) {
        RangeState state = state(range);
        state.backupCompleteEpoch = Math.max(state.backupCompleteEpoch, epoch);
    }

    /**
     * Returns the claims of ranges whose backup has not yet confirmed that it has all, to be sent
     * again.
     *
     * @return what is to be done
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
     * Stops granting claims and keeping copies, in their present epochs, of the ranges that a
     * proposal changes. Must come before the proposal.
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
     * Tells whether a range was sealed and its epoch has not changed since.
     *
     * @param range the range
     * @return true until a proposal for it has succeeded
     */
    public boolean sealed(int range) {
        return sealed(state(range), map.get(range));
    }

    /**
     * Tells, as owner, whether the backup has confirmed that it has all claims of a range.
     *
     * @param range the range
     * @return true if the backup may become owner without loss
     */
    public boolean backupComplete(int range) {
        return state(range).backupCompleteEpoch == map.get(range).epoch();
    }

    /**
     * Tells whether this entry has every claim of a range that was ever granted.
     *
     * @param range the range
     * @return true for an owner, and for a backup that was sent all
     */
    public boolean complete(int range) {
        return state(range).completeEpoch == map.get(range).epoch();
    }

    /**
     * Forgets claims whose time is over.
     *
     * @param nowMillis the time, in milliseconds since 1970
     */
    public void expire(long nowMillis) {
        for (RangeState state : states.values()) {
            int before = state.claims.size();
            state.claims.values().removeIf(claim -> claim.expiresMillis() <= nowMillis);
            size -= before - state.claims.size();
        }
    }

    /**
     * Returns how many claims are kept.
     *
     * @return a count over all ranges
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
            int range, RangeAssignment assignment, RangeState state, Claim wanted) {
        if (assignment.backup().isEmpty()) {
            put(state, wanted);
            return answer(wanted, Verdict.GRANTED);
        }
        if (state.backupCompleteEpoch != assignment.epoch()) {
            return answer(wanted, Verdict.UNAVAILABLE);
        }
        state.pending.put(wanted.key(), new Pending(wanted, new ArrayList<>()));
        return List.of(new CopyClaim(assignment.backup(), range, assignment.epoch(), wanted));
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

    private static List<ClaimAction> repeated(Claim first, Claim wanted) {
        if (first.fingerprint() != wanted.fingerprint()) {
            return answer(wanted, Verdict.MISMATCH);
        }
        ClaimReply reply = new ClaimReply(Verdict.DUPLICATE, first.holder(), first.requestId());
        return List.of(new Answer(wanted.holder(), wanted.requestId(), reply));
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

    private static List<ClaimAction> answer(Claim wanted, Verdict verdict) {
        return List.of(new Answer(wanted.holder(), wanted.requestId(), ClaimReply.of(verdict)));
    }
}
