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
package io.trailladder.core.duty;

import java.util.function.LongSupplier;

/**
 * Decides when this entry requests, renews and releases the lease under which a single entry at a
 * time, the leader, does work for all.
 *
 * <p>The lease and the leader's key are stored in the platform's store. The fencing token is the
 * revision at which the key was created, or one more than the highest known token if that is
 * higher: revisions go back when the store is restored from a copy, and tokens must not. This entry
 * treats its lease as valid only until a margin before its time to live has passed since the last
 * renewal was <em>sent</em>.
 *
 * <p>After the store's history was replaced, the leader does not act until the store has confirmed
 * that its key still exists, and claims the key again if it does not. All other entries wait until
 * the leader's lease would have expired, since it may not know of the change.
 *
 * @since 0.2
 */
public final class LeaderElection {
    /**
     * Time before the end of its lease at which this entry stops acting as the leader, in
     * milliseconds.
     */
    public static final long MARGIN_MILLIS = 600;

    private static final long RENEWALS_PER_TTL = 4;
    private static final long BACKOFF_MILLIS = 400;

    private final long ttlMillis;
    private final long formerLeaderDelayMillis;
    private final LongSupplier claimDelayMillis;

    private State state = State.FOLLOWING;
    private boolean keyPresent = true;
    private boolean stopping;
    private long keyRemovedMillis;
    private long notBeforeMillis;
    private long lease;
    private long token;
    private long renewSentMillis;
    private long validUntilMillis;
    private long highestToken;
    private long keyRevision;
    private boolean reclaiming;
    private long epoch;

    /** State of this entry with respect to the lease. */
    private enum State {
        FOLLOWING,
        WAITING_FOR_GRANT,
        GRANTED,
        WAITING_FOR_CLAIM,
        LEADING,
        UNCONFIRMED,
        WAITING_FOR_CONFIRMATION
    }

    /** Request to be sent to the store. */
    public enum Step {
        /** No request. */
        NONE,
        /** Requests a lease. */
        GRANT,
        /**
         * Creates the leader's key under the lease if the key is absent, or replaces {@link
         * #claimedRevision} of it.
         */
        CLAIM,
        /** Renews the lease. */
        RENEW,
        /** Reads the leader's key, and renews the lease if the key is this entry's. */
        CONFIRM,
        /** Ends the lease. */
        END
    }

    /**
     * Creates the state of a follower with a fixed claim delay.
     *
     * @param ttlMillis time to live of the lease, in milliseconds
     * @param claimDelayMillis time between the removal of the key and a claim of this entry, in
     *     milliseconds; entries with different delays do not all send requests at once
     * @param formerLeaderDelayMillis time that a former leader waits before it requests a lease
     *     again, in milliseconds
     */
    public LeaderElection(long ttlMillis, long claimDelayMillis, long formerLeaderDelayMillis) {
        this(ttlMillis, () -> claimDelayMillis, formerLeaderDelayMillis);
    }

    /**
     * Creates the state of a follower with a variable claim delay.
     *
     * @param ttlMillis time to live of the lease, in milliseconds
     * @param claimDelayMillis returns the time between the removal of the key and a claim of this
     *     entry, in milliseconds
     * @param formerLeaderDelayMillis time that a former leader waits before it requests a lease
     *     again, in milliseconds
     */
    public LeaderElection(
            long ttlMillis, LongSupplier claimDelayMillis, long formerLeaderDelayMillis) {
        this.ttlMillis = ttlMillis;
        this.claimDelayMillis = claimDelayMillis;
        this.formerLeaderDelayMillis = formerLeaderDelayMillis;
    }

    /**
     * Returns the next request. The caller sends it and reports the result.
     *
     * @param nowMillis the current time on the monotonic clock, in milliseconds
     * @return the request; {@link Step#NONE} if there is nothing to do
     */
    public Step next(long nowMillis) {
        if (stopping) {
            return endIfHeld();
        }
        if (hasLeaderState() && nowMillis >= validUntilMillis) {
            stepDown(nowMillis);
            return Step.NONE;
        }
        if (state == State.UNCONFIRMED && nowMillis >= notBeforeMillis) {
            state = State.WAITING_FOR_CONFIRMATION;
            return Step.CONFIRM;
        }
        if (state == State.LEADING && nowMillis - renewSentMillis >= ttlMillis / RENEWALS_PER_TTL) {
            renewSentMillis = nowMillis;
            return Step.RENEW;
        }
        if (state == State.GRANTED) {
            state = State.WAITING_FOR_CLAIM;
            return Step.CLAIM;
        }
        if (state == State.FOLLOWING && mayClaim(nowMillis)) {
            state = State.WAITING_FOR_GRANT;
            renewSentMillis = nowMillis;
            return Step.GRANT;
        }
        return Step.NONE;
    }

    /**
     * Records that the store contains the leader's key.
     *
     * @param keyToken the token of the leader that owns the key
     */
    public void keySeen(long keyToken) {
        keyPresent = true;
        // the leader's own token may be higher by one, to have the parity of its epoch
        tokenSeen(keyToken + 1);
        if (state == State.LEADING && keyToken > token) {
            state = State.FOLLOWING;
        }
    }

    /**
     * Records that a leader has, or had, a token. Later tokens must be higher.
     *
     * @param seen the token
     */
    public void tokenSeen(long seen) {
        highestToken = Math.max(highestToken, seen);
    }

    /**
     * Returns the highest known token of any leader.
     *
     * @return the token; 0 if none is known
     */
    public long highestToken() {
        return highestToken;
    }

    /**
     * Records the current epoch of the store's history.
     *
     * @param current the epoch; 0 if the store does not name one
     */
    public void epoch(long current) {
        epoch = current;
    }

    /**
     * Records that this entry has just started. It waits as after a change of the history, since a
     * leader that the store no longer knows may still act.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void started(long nowMillis) {
        notBeforeMillis = nowMillis + ttlMillis - MARGIN_MILLIS;
    }

    /** Returns the lowest token that is at least {@code min} and has the parity of the epoch. */
    private long lowestFittingToken(long min) {
        boolean fits = epoch == 0 || (min & 1) == (epoch & 1);
        return fits ? min : min + 1;
    }

    /**
     * Records that the store's history was replaced: keys and leases may be lost, and their numbers
     * may be assigned again.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void historyReplaced(long nowMillis) {
        keyPresent = true;
        endReclaim();
        if (hasLeaderState() && nowMillis < validUntilMillis) {
            state = State.UNCONFIRMED;
            notBeforeMillis = nowMillis;
        } else {
            state = State.FOLLOWING;
            lease = 0;
            notBeforeMillis = Math.max(notBeforeMillis, nowMillis + ttlMillis - MARGIN_MILLIS);
        }
    }

    /**
     * Records that the leader's key is still this entry's, and that its lease was renewed.
     *
     * @param sentMillis the time at which the renewal was sent, in milliseconds
     */
    public void confirmed(long sentMillis) {
        if (state == State.WAITING_FOR_CONFIRMATION) {
            state = State.LEADING;
            renewSentMillis = sentMillis;
            renewed(sentMillis);
        }
    }

    /**
     * Records that the leader's key is no longer this entry's. Unless another entry has led since,
     * the key may be claimed at once: a key with a lower token belongs to an earlier leader and was
     * restored from a copy.
     *
     * @param revision the revision of the present key; 0 if there is none
     * @param keyToken the token of the leader that owns the present key; 0 if there is none
     * @param nowMillis the current time, in milliseconds
     */
    public void displaced(long revision, long keyToken, long nowMillis) {
        if (state != State.WAITING_FOR_CONFIRMATION) {
            return;
        }
        if (keyToken > token) {
            keySeen(keyToken);
            stepDown(nowMillis);
        } else {
            state = State.FOLLOWING;
            reclaiming = true;
            keyRevision = revision;
        }
    }

    /**
     * Records that the read of the leader's key was not answered; it is repeated after a back-off.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void notConfirmed(long nowMillis) {
        if (state == State.WAITING_FOR_CONFIRMATION) {
            state = State.UNCONFIRMED;
            notBeforeMillis = nowMillis + BACKOFF_MILLIS;
        }
    }

    /**
     * Returns the revision of the leader's key that a claim replaces.
     *
     * @return the revision; 0 if the key must be absent
     */
    public long claimedRevision() {
        return keyRevision;
    }

    /**
     * Raises the token, because the platform has seen a higher one than this leader's although the
     * leader's key is its own.
     *
     * @param next the minimum of the new token
     */
    public void raiseToken(long next) {
        if (state == State.LEADING && next > token) {
            token = lowestFittingToken(next);
            tokenSeen(token);
        }
    }

    /**
     * Records that the leader's key was removed.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void keyRemoved(long nowMillis) {
        if (keyPresent) {
            keyRemovedMillis = nowMillis;
        }
        keyPresent = false;
        if (state == State.LEADING) {
            stepDown(nowMillis);
        }
    }

    /**
     * Records that a lease was granted.
     *
     * @param granted the number of the lease
     */
    public void granted(long granted) {
        if (state == State.WAITING_FOR_GRANT) {
            lease = granted;
            state = State.GRANTED;
        }
    }

    /**
     * Records that the key was created.
     *
     * @param createdRevision the revision at which it was created
     */
    public void claimed(long createdRevision) {
        if (state == State.WAITING_FOR_CLAIM) {
            token = lowestFittingToken(Math.max(createdRevision, highestToken + 1));
            tokenSeen(token);
            endReclaim();
            keyPresent = true;
            validUntilMillis = renewSentMillis + ttlMillis - MARGIN_MILLIS;
            state = State.LEADING;
        }
    }

    /**
     * Records that a grant or claim failed, or that its result is unknown. An unanswered claim
     * never makes this entry the leader: its lease is left to expire.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void notClaimed(long nowMillis) {
        if (!hasLeaderState()) {
            state = State.FOLLOWING;
            endReclaim();
            notBeforeMillis = Math.max(notBeforeMillis, nowMillis + BACKOFF_MILLIS);
        }
    }

    /**
     * Records that the lease was renewed.
     *
     * @param sentMillis the time at which the renewal was sent, in milliseconds
     */
    public void renewed(long sentMillis) {
        if (state == State.LEADING) {
            validUntilMillis = Math.max(validUntilMillis, sentMillis + ttlMillis - MARGIN_MILLIS);
        }
    }

    /**
     * Records that the store no longer knows the lease, or that a call was refused because another
     * entry has a higher token.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void leadershipLost(long nowMillis) {
        if (state == State.LEADING) {
            stepDown(nowMillis);
        }
    }

    /** Records that this entry stops. It ends its lease and requests no other. */
    public void stop() {
        stopping = true;
    }

    /**
     * Returns whether this entry may act as the leader.
     *
     * @param nowMillis the current time on the monotonic clock, in milliseconds
     * @return true while its lease is certainly valid
     */
    public boolean leads(long nowMillis) {
        return state == State.LEADING && !stopping && nowMillis < validUntilMillis;
    }

    /**
     * Returns the fencing token of this entry's leadership.
     *
     * @return the token
     */
    public long token() {
        return token;
    }

    /**
     * Returns the number of the lease.
     *
     * @return the number; 0 if there was none
     */
    public long lease() {
        return lease;
    }

    private boolean hasLeaderState() {
        return state == State.LEADING
                || state == State.UNCONFIRMED
                || state == State.WAITING_FOR_CONFIRMATION;
    }

    private boolean mayClaim(long nowMillis) {
        boolean free = !keyPresent && nowMillis - keyRemovedMillis >= claimDelayMillis.getAsLong();
        return reclaiming || (free && nowMillis >= notBeforeMillis);
    }

    private void endReclaim() {
        reclaiming = false;
        keyRevision = 0;
    }

    private Step endIfHeld() {
        if (state == State.LEADING) {
            state = State.FOLLOWING;
            return Step.END;
        }
        return Step.NONE;
    }

    private void stepDown(long nowMillis) {
        state = State.FOLLOWING;
        endReclaim();
        notBeforeMillis = nowMillis + formerLeaderDelayMillis;
    }
}
