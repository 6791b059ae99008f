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
package io.trailladder.core.upstream;

import java.util.Optional;

/**
 * The turns at one upstream's limit, which all processes work out alike from the agreed time of
 * day. Each turn is the right of one process to send one request, so that no process needs to ask
 * another, and a process that is cut off, frozen or gone leaves its turns unused.
 *
 * <p>Turns begin as far apart as the limit says and are kept for a second. In any four seconds five
 * seconds' worth and one request more are sent at most.
 *
 * <p>If the limit is rare, less than a request a second, a turn begins each second, and is void if
 * another process has used the limit since less than its time. Such a turn is kept for half of its
 * second only, so that its use is known to the next process: then, too, there are at most the
 * requests of the limit, and while no process hears another, one a second.
 */
final class LimitTurns {
    /** Least limit that is kept to, in requests a second: else its end would not be noticed. */
    static final double LEAST_PER_SECOND = 0.05;

    /** Greatest limit that is kept to, in requests a second: more than all processes send. */
    static final double MOST_PER_SECOND = 100_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double LONGEST_TURN_MILLIS = 1_000;
    private static final double KEPT_MILLIS = 1_000;
    private static final double RARE_KEPT_MILLIS = 500;

    private final String upstream;
    private final long offset;
    private double everyMillis;
    private double turnMillis;
    private long passed;
    private long usedMillis;

    /**
     * Creates the turns of a limit that has just become known: what is sent before the next turn is
     * sent already.
     *
     * @param upstream the upstream's name
     * @param perSecond the limit, in requests a second
     * @param usedMillis when it was last used, by the agreed time of day
     * @param agreedMillis the agreed time of day
     */
    LimitTurns(String upstream, double perSecond, long usedMillis, long agreedMillis) {
        this.upstream = upstream;
        this.offset = upstream.hashCode();
        pace(perSecond);
        this.passed = numberAt(agreedMillis);
        this.usedMillis = Math.min(usedMillis, agreedMillis);
    }

    /** Changes the limit. Turns that were used stay so. */
    void perSecond(double perSecond) {
        double freeFromMillis = (passed + 1) * turnMillis;
        pace(perSecond);
        passed = (long) Math.ceil(freeFromMillis / turnMillis) - 1;
    }

    private void pace(double perSecond) {
        double kept = Math.min(MOST_PER_SECOND, Math.max(LEAST_PER_SECOND, perSecond));
        everyMillis = MILLIS_PER_SECOND / kept;
        turnMillis = Math.min(everyMillis, LONGEST_TURN_MILLIS);
    }

    /** Tells whether the limit is rare, less than a request a second: then uses must be told. */
    boolean isRare() {
        return everyMillis > LONGEST_TURN_MILLIS;
    }

    /** Returns when the limit was used last, as far as is known, by the agreed time of day. */
    long usedMillis() {
        return usedMillis;
    }

    /**
     * Records that a request was sent, by this process or another.
     *
     * @param agreedMillis when, by the agreed time of day
     * @return true if a later use was not known
     */
    boolean used(long agreedMillis) {
        boolean news = agreedMillis > usedMillis;
        usedMillis = Math.max(usedMillis, agreedMillis);
        return news;
    }

    /** Returns the time between two turns of this process, in milliseconds. */
    double ownEveryMillis(TurnOrder order) {
        return everyMillis * Math.max(1, order.count());
    }

    /**
     * Returns how long it is until this process may send a request.
     *
     * @param order which turns are its own
     * @param heldPart part of the time of each turn for which it is held for more urgent requests
     * @param agreedMillis the agreed time of day
     * @return milliseconds, 0 if it may now
     */
    long waitMillis(TurnOrder order, double heldPart, long agreedMillis) {
        long turn = next(order, agreedMillis);
        if (turn == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        double opens = turn * turnMillis + heldPart * keptMillis();
        double begins = Math.max(freeMillis(agreedMillis), opens);
        return (long) Math.ceil(begins - agreedMillis);
    }

    /**
     * Returns how much of the time is left in which the next own turn may be used.
     *
     * @param order which turns are the process's own
     * @param agreedMillis the agreed time of day
     * @return from 1, when it begins, to 0; 0 if there is less than a turn a second, which must not
     *     pass unused, or nobody learns that the limit has ended
     */
    double keptPart(TurnOrder order, long agreedMillis) {
        if (isRare()) {
            return 0;
        }
        long turn = next(order, agreedMillis);
        double age = agreedMillis - turn * turnMillis;
        return Math.min(1, Math.max(0, 1 - age / KEPT_MILLIS));
    }

    /** Takes the oldest turn that this process may use; empty if there is none now. */
    Optional<LimitTurn> take(TurnOrder order, long agreedMillis) {
        if (waitMillis(order, 0, agreedMillis) > 0) {
            return Optional.empty();
        }
        LimitTurn turn =
                new LimitTurn(upstream, next(order, agreedMillis), agreedMillis, usedMillis);
        passed = turn.number();
        used(agreedMillis);
        return Optional.of(turn);
    }

    /** Takes a turn back under which nothing was sent, if none was taken after it. */
    void giveBack(LimitTurn turn) {
        if (turn.number() == passed) {
            passed--;
        }
        if (turn.takenMillis() == usedMillis) {
            usedMillis = turn.usedBeforeMillis();
        }
    }

    private long next(TurnOrder order, long agreedMillis) {
        long current = numberAt(agreedMillis);
        // the agreed time may have been set back
        passed = Math.min(passed, current);
        usedMillis = Math.min(usedMillis, agreedMillis);
        double keptFrom = freeMillis(agreedMillis) - keptMillis();
        long from = Math.max(passed + 1, (long) Math.floor(keptFrom / turnMillis) + 1);
        return order.firstOwn(from, offset);
    }

    private double freeMillis(long agreedMillis) {
        double now = agreedMillis;
        return isRare() ? Math.max(now, usedMillis + everyMillis) : now;
    }

    private double keptMillis() {
        return isRare() ? RARE_KEPT_MILLIS : KEPT_MILLIS;
    }

    private long numberAt(long agreedMillis) {
        return (long) Math.floor(agreedMillis / turnMillis);
    }
}
