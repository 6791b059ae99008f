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
final class SendSlots {
    /** Least limit that is kept to, in requests a second: else its end would not be noticed. */
    static final double MIN_PER_SECOND = 0.05;

    /** Greatest limit that is kept to, in requests a second: more than all processes send. */
    static final double MAX_PER_SECOND = 100_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_SLOT_MILLIS = 1_000;
    private static final double VALIDITY_MILLIS = 1_000;
    private static final double LOW_RATE_VALIDITY_MILLIS = 500;

    private final String upstream;
    private final long offset;
    private double intervalMillis;
    private double slotMillis;
    private long lastConsumed;
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
    SendSlots(String upstream, double perSecond, long usedMillis, long agreedMillis) {
        this.upstream = upstream;
        this.offset = upstream.hashCode();
        setRate(perSecond);
        this.lastConsumed = slotAt(agreedMillis);
        this.usedMillis = Math.min(usedMillis, agreedMillis);
    }

    /** Changes the limit. Turns that were used stay so. */
    void changeRate(double perSecond) {
        double freeFromMillis = (lastConsumed + 1) * slotMillis;
        setRate(perSecond);
        lastConsumed = (long) Math.ceil(freeFromMillis / slotMillis) - 1;
    }

    private void setRate(double perSecond) {
        double kept = Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond));
        intervalMillis = MILLIS_PER_SECOND / kept;
        slotMillis = Math.min(intervalMillis, MAX_SLOT_MILLIS);
    }

    /** Tells whether the limit is rare, less than a request a second: then uses must be told. */
    boolean isLowRate() {
        return intervalMillis > MAX_SLOT_MILLIS;
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
    boolean recordUse(long agreedMillis) {
        boolean news = agreedMillis > usedMillis;
        usedMillis = Math.max(usedMillis, agreedMillis);
        return news;
    }

    /** Returns the time between two turns of this process, in milliseconds. */
    double ownIntervalMillis(SendSlotOrder order) {
        return intervalMillis * Math.max(1, order.count());
    }

    /**
     * Returns how long it is until this process may send a request.
     *
     * @param order which turns are its own
     * @param heldPart part of the time of each turn for which it is held for more urgent requests
     * @param agreedMillis the agreed time of day
     * @return milliseconds, 0 if it may now
     */
    long waitMillis(SendSlotOrder order, double heldPart, long agreedMillis) {
        long turn = nextOwn(order, agreedMillis);
        if (turn == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        double opens = turn * slotMillis + heldPart * validityMillis();
        double begins = Math.max(earliestMillis(agreedMillis), opens);
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
    double remainingFraction(SendSlotOrder order, long agreedMillis) {
        if (isLowRate()) {
            return 0;
        }
        long turn = nextOwn(order, agreedMillis);
        double age = agreedMillis - turn * slotMillis;
        return Math.min(1, Math.max(0, 1 - age / VALIDITY_MILLIS));
    }

    /** Takes the oldest turn that this process may use; empty if there is none now. */
    Optional<SendSlot> take(SendSlotOrder order, long agreedMillis) {
        if (waitMillis(order, 0, agreedMillis) > 0) {
            return Optional.empty();
        }
        SendSlot turn =
                new SendSlot(upstream, nextOwn(order, agreedMillis), agreedMillis, usedMillis);
        lastConsumed = turn.number();
        recordUse(agreedMillis);
        return Optional.of(turn);
    }

    /** Takes a turn back under which nothing was sent, if none was taken after it. */
    void returnSlot(SendSlot turn) {
        if (turn.number() == lastConsumed) {
            lastConsumed--;
        }
        if (turn.takenMillis() == usedMillis) {
            usedMillis = turn.previousUseMillis();
        }
    }

    private long nextOwn(SendSlotOrder order, long agreedMillis) {
        long current = slotAt(agreedMillis);
        // the agreed time may have been set back
        lastConsumed = Math.min(lastConsumed, current);
        usedMillis = Math.min(usedMillis, agreedMillis);
        double keptFrom = earliestMillis(agreedMillis) - validityMillis();
        long from = Math.max(lastConsumed + 1, (long) Math.floor(keptFrom / slotMillis) + 1);
        return order.firstOwn(from, offset);
    }

    private double earliestMillis(long agreedMillis) {
        double now = agreedMillis;
        return isLowRate() ? Math.max(now, usedMillis + intervalMillis) : now;
    }

    private double validityMillis() {
        return isLowRate() ? LOW_RATE_VALIDITY_MILLIS : VALIDITY_MILLIS;
    }

    private long slotAt(long agreedMillis) {
        return (long) Math.floor(agreedMillis / slotMillis);
    }
}
