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
 * at which the key was made, so a later leader always has a higher one. This entry believes in its
 * lease only until a margin before its time to live has passed since the last renewal was
 * <em>sent</em>.
 *
 * @since 0.2
 */
public final class LeaderElection {
    /** How long before the end of its lease this entry stops acting, in milliseconds. */
    public static final long MARGIN_MILLIS = 600;

    private static final long RENEWALS_PER_TTL = 4;
    private static final long BACKOFF_MILLIS = 400;

    private final long ttlMillis;
    private final long returnMillis;
    private final LongSupplier patienceMillis;

    private State state = State.FOLLOWING;
    private boolean keyPresent = true;
    private boolean stopping;
    private long keyGoneMillis;
    private long notBeforeMillis;
    private long lease;
    private long token;
    private long renewSentMillis;
    private long validUntilMillis;

    /** What this entry is doing about the lease. */
    private enum State {
        FOLLOWING,
        WAITING_FOR_GRANT,
        GRANTED,
        WAITING_FOR_CLAIM,
        LEADING
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
        this.patienceMillis = patienceMillis;
        this.returnMillis = returnMillis;
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
        if (state == State.LEADING && nowMillis >= validUntilMillis) {
            follow(nowMillis);
            return Step.NONE;
        }
        if (state == State.LEADING && nowMillis - renewSentMillis >= ttlMillis / RENEWALS_PER_TTL) {
            renewSentMillis = nowMillis;
            return Step.RENEW;
        }
        if (state == State.GRANTED) {
            state = State.WAITING_FOR_CLAIM;
            return Step.CLAIM;
        }
        boolean free = !keyPresent && nowMillis - keyGoneMillis >= patienceMillis.getAsLong();
        if (state == State.FOLLOWING && free && nowMillis >= notBeforeMillis) {
            state = State.WAITING_FOR_GRANT;
            renewSentMillis = nowMillis;
            return Step.GRANT;
        }
        return Step.NONE;
    }

    /**
     * Records that the leader's key was seen in the store.
     *
     * @param made the revision at which it was made
     */
    public void keySeen(long made) {
        keyPresent = true;
        if (state == State.LEADING && made > token) {
            state = State.FOLLOWING;
        }
    }

    /**
     * Records that the leader's key is gone.
     *
     * @param nowMillis the time
     */
    public void keyGone(long nowMillis) {
        if (keyPresent) {
            keyGoneMillis = nowMillis;
        }
        keyPresent = false;
        if (state == State.LEADING) {
            follow(nowMillis);
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
            token = made;
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
        if (state != State.LEADING) {
            state = State.FOLLOWING;
            notBeforeMillis = nowMillis + BACKOFF_MILLIS;
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
    public void lost(long nowMillis) {
        if (state == State.LEADING) {
            follow(nowMillis);
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
     * @return the revision at which its key was made
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

    private Step endIfHeld() {
        if (state == State.LEADING) {
            state = State.FOLLOWING;
            return Step.END;
        }
        return Step.NONE;
    }

    private void follow(long nowMillis) {
        state = State.FOLLOWING;
        notBeforeMillis = nowMillis + returnMillis;
    }
}
