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
 * Decides when this entry asks for, renews and gives up the lease under which one entry at a time
 * does the work that needs a single doer.
 *
 * <p>The lease and the leader's key live in the platform's store. The fencing token is the revision
 * at which the key was made, or one more than the highest token known if that is higher: revisions
 * go back when the store comes back from a copy, and tokens must not. This entry believes in its
 * lease only until a margin before its time to live has passed since the last renewal was
 * <em>sent</em>.
 *
 * <p>After the store's history was replaced the leader does not act until the store has shown that
 * its key is still there, and claims it anew if not. All others wait until its lease would have
 * ended, since it may not have heard of the change.
 *
 * @since 0.2
 */
public final class LeaderElection {
    /** How long before the end of its lease this entry stops acting, in milliseconds. */
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

    /** What this entry is doing about the lease. */
    private enum State {
        FOLLOWING,
        WAITING_FOR_GRANT,
        GRANTED,
        WAITING_FOR_CLAIM,
        LEADING,
        UNCONFIRMED,
        WAITING_FOR_CONFIRMATION
    }

    /** What is to be asked of the store. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** A lease is to be granted. */
        GRANT,
        /** The leader's key is to be created under the lease, if it is absent. */
        CLAIM,
        /** The lease is to be renewed. */
        RENEW,
        /** The leader's key is to be read, and the lease to be renewed if it is this entry's. */
        CONFIRM,
        /** The lease is to be ended. */
        END
    }

    /**
     * Creates the state of an entry that follows.
     *
     * @param ttlMillis time to live of the lease, in milliseconds
     * @param patienceMillis how long this entry waits after the key is gone, in milliseconds;
     *     entries with different patience do not all ask at once
     * @param returnMillis how long a former leader waits before it asks again, in milliseconds
     */
    public LeaderElection(long ttlMillis, long patienceMillis, long returnMillis) {
        this(ttlMillis, () -> patienceMillis, returnMillis);
    }

    /**
     * Creates the state of an entry that follows, with a patience that changes.
     *
     * @param ttlMillis time to live of the lease, in milliseconds
     * @param patienceMillis tells how long this entry waits after the key is gone, in milliseconds
     * @param returnMillis how long a former leader waits before it asks again, in milliseconds
     */
    public LeaderElection(long ttlMillis, LongSupplier patienceMillis, long returnMillis) {
        this.ttlMillis = ttlMillis;
        this.claimDelayMillis = patienceMillis;
        this.formerLeaderDelayMillis = returnMillis;
    }

    /**
     * Decides the next step. The caller carries it out and reports the result.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the step
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
     * Records that the leader's key was seen in the store.
     *
     * @param keyToken the token of the leader whose key it is
     */
    public void keySeen(long keyToken) {
        keyPresent = true;
        // the leader's own may be higher by one, to fit its epoch
        tokenSeen(keyToken + 1);
        if (state == State.LEADING && keyToken > token) {
            state = State.FOLLOWING;
        }
    }

    /**
     * Records that a leader has, or had, a token. Later ones must be higher.
     *
     * @param seen the token
     */
    public void tokenSeen(long seen) {
        highestToken = Math.max(highestToken, seen);
    }

    /**
     * Returns the highest token of any leader that is known here.
     *
     * @return the token; 0 if none is known
     */
    public long highestToken() {
        return highestToken;
    }

    /**
     * Records which history of the store is current.
     *
     * @param current the epoch; 0 if the store names none
     */
    public void epoch(long current) {
        epoch = current;
    }

    /**
     * Has this entry wait as after a change of the history: it has just started, and a leader that
     * the store has lost may still act.
     *
     * @param nowMillis the time
     */
    public void started(long nowMillis) {
        notBeforeMillis = nowMillis + ttlMillis - MARGIN_MILLIS;
    }

    /** Returns the lowest token that is at least as high as a number and fits the epoch. */
    private long lowestFittingToken(long least) {
        boolean fits = epoch == 0 || (least & 1) == (epoch & 1);
        return fits ? least : least + 1;
    }

    /**
     * Records that the store's history was replaced: keys and leases may be gone, and their numbers
     * given out again.
     *
     * @param nowMillis the time
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
     * @param sentMillis when the renewal was sent
     */
    public void confirmed(long sentMillis) {
        if (state == State.WAITING_FOR_CONFIRMATION) {
            state = State.LEADING;
            renewSentMillis = sentMillis;
            renewed(sentMillis);
        }
    }

    /**
     * Records that the leader's key is not this entry's any more. Unless another one has led since,
     * the key may be claimed at once: one of a lower token is of an earlier leader, and a copy has
     * held it.
     *
     * @param revision the revision of the key that stands there; 0 if there is none
     * @param keyToken the token of the leader whose key it is; 0 if there is none
     * @param nowMillis the time
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
     * Records that nothing was heard of the leader's key; it is asked for again soon.
     *
     * @param nowMillis the time
     */
    public void notConfirmed(long nowMillis) {
        if (state == State.WAITING_FOR_CONFIRMATION) {
            state = State.UNCONFIRMED;
            notBeforeMillis = nowMillis + BACKOFF_MILLIS;
        }
    }

    /**
     * Returns which revision of the leader's key a claim replaces.
     *
     * @return the revision; 0 if the key must be absent
     */
    public long claimedRevision() {
        return keyRevision;
    }

    /**
     * Takes a higher token, because the platform has seen a higher one than this leader's although
     * the leader's key is its own.
     *
     * @param next the least token to take
     */
    public void raiseToken(long next) {
        if (state == State.LEADING && next > token) {
            token = lowestFittingToken(next);
            tokenSeen(token);
        }
    }

    /**
     * Records that the leader's key is gone.
     *
     * @param nowMillis the time
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
     * @param granted the lease's number
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
     * @param made the revision at which it was made
     */
    public void claimed(long made) {
        if (state == State.WAITING_FOR_CLAIM) {
            token = lowestFittingToken(Math.max(made, highestToken + 1));
            tokenSeen(token);
            endReclaim();
            keyPresent = true;
            validUntilMillis = renewSentMillis + ttlMillis - MARGIN_MILLIS;
            state = State.LEADING;
        }
    }

    /**
     * Records that a grant or claim did not succeed, or that nobody knows whether it did. An
     * unanswered claim is never believed: its lease is left to lapse.
     *
     * @param nowMillis the time
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
     * @param sentMillis when the renewal was sent
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
     * @param nowMillis the time
     */
    public void leadershipLost(long nowMillis) {
        if (state == State.LEADING) {
            stepDown(nowMillis);
        }
    }

    /** Records that this entry stops; it gives the lease up and asks for none. */
    public void stop() {
        stopping = true;
    }

    /**
     * Tells whether this entry may act as the leader now.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true while its lease surely holds
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
     * Returns the lease's number.
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
