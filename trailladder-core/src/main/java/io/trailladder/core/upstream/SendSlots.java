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
 * The send slots of one upstream's limit, which all processes derive in the same way from the
 * agreed time of day. Each slot is the right of one process to send one request, so that processes
 * need not coordinate, and the slots of a process that is disconnected, suspended or terminated
 * stay unused.
 *
 * <p>Slots begin at the interval that the limit defines and stay valid for one second. In any four
 * seconds, at most five seconds' worth of requests and one more are sent.
 *
 * <p>If the limit is below one request per second, a slot begins every second, and is void if
 * another process has used the limit within the interval of the limit. Such a slot is valid for
 * only half of its second, so that the next process learns of its use in time: the requests sent
 * then do not exceed the limit either. While the processes receive no messages from each other,
 * they send one request per second.
 */
final class SendSlots {
    /**
     * Minimum limit that is applied, in requests per second; below it, the end of the limit would
     * not be noticed.
     */
    static final double MIN_PER_SECOND = 0.05;

    /** Maximum limit that is applied, in requests per second: above what all processes send. */
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
     * Creates the slots of a limit that has just become known. The slots up to now count as used.
     *
     * @param upstream the upstream's name
     * @param perSecond the limit, in requests per second
     * @param usedMillis when it was last used, in the agreed time of day
     * @param agreedMillis the agreed time of day
     */
    SendSlots(String upstream, double perSecond, long usedMillis, long agreedMillis) {
        this.upstream = upstream;
        this.offset = upstream.hashCode();
        setRate(perSecond);
        this.lastConsumed = slotAt(agreedMillis);
        this.usedMillis = Math.min(usedMillis, agreedMillis);
    }

    /** Changes the limit. Slots that were used stay used. */
    void changeRate(double perSecond) {
        double freeFromMillis = (lastConsumed + 1) * slotMillis;
        setRate(perSecond);
        lastConsumed = (long) Math.ceil(freeFromMillis / slotMillis) - 1;
    }

    private void setRate(double perSecond) {
        double bounded = Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond));
        intervalMillis = MILLIS_PER_SECOND / bounded;
        slotMillis = Math.min(intervalMillis, MAX_SLOT_MILLIS);
    }

    /**
     * Returns whether the limit is below one request per second, so that uses must be reported to
     * peers.
     */
    boolean isLowRate() {
        return intervalMillis > MAX_SLOT_MILLIS;
    }

    /** Returns when the limit was last used, as far as is known, in the agreed time of day. */
    long usedMillis() {
        return usedMillis;
    }

    /**
     * Records that a request was sent, by this process or another.
     *
     * @param agreedMillis when, in the agreed time of day
     * @return true if no use at that time or later was known
     */
    boolean recordUse(long agreedMillis) {
        boolean isLater = agreedMillis > usedMillis;
        usedMillis = Math.max(usedMillis, agreedMillis);
        return isLater;
    }

    /** Returns the time between two slots of this process, in milliseconds. */
    double ownIntervalMillis(SendSlotOrder order) {
        return intervalMillis * Math.max(1, order.count());
    }

    /**
     * Returns how long it is until this process may send a request.
     *
     * @param order which slots belong to this process
     * @param reservedFraction fraction of the validity of each slot during which it is reserved for
     *     more urgent requests
     * @param agreedMillis the agreed time of day
     * @return milliseconds, 0 if it may send now; {@link Long#MAX_VALUE} if no slots belong to it
     */
    long waitMillis(SendSlotOrder order, double reservedFraction, long agreedMillis) {
        long slot = nextOwn(order, agreedMillis);
        if (slot == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        double opensMillis = slot * slotMillis + reservedFraction * validityMillis();
        double beginsMillis = Math.max(earliestMillis(agreedMillis), opensMillis);
        return (long) Math.ceil(beginsMillis - agreedMillis);
    }

    /**
     * Returns the remaining fraction of the validity of this process's next slot.
     *
     * @param order which slots belong to this process
     * @param agreedMillis the agreed time of day
     * @return from 1, when the slot begins, to 0; 0 if the limit is below one request per second,
     *     whose slots must not stay unused, because only an answer shows that the limit has ended
     */
    double remainingFraction(SendSlotOrder order, long agreedMillis) {
        if (isLowRate()) {
            return 0;
        }
        long slot = nextOwn(order, agreedMillis);
        double age = agreedMillis - slot * slotMillis;
        return Math.min(1, Math.max(0, 1 - age / VALIDITY_MILLIS));
    }

    /** Takes the oldest slot that this process may use; empty if there is none now. */
    Optional<SendSlot> take(SendSlotOrder order, long agreedMillis) {
        if (waitMillis(order, 0, agreedMillis) > 0) {
            return Optional.empty();
        }
        SendSlot slot =
                new SendSlot(upstream, nextOwn(order, agreedMillis), agreedMillis, usedMillis);
        lastConsumed = slot.number();
        recordUse(agreedMillis);
        return Optional.of(slot);
    }

    /**
     * Returns a slot under which nothing was sent; it can be taken again if no later slot was
     * taken.
     */
    void returnSlot(SendSlot slot) {
        if (slot.number() == lastConsumed) {
            lastConsumed--;
        }
        if (slot.takenMillis() == usedMillis) {
            usedMillis = slot.previousUseMillis();
        }
    }

    private long nextOwn(SendSlotOrder order, long agreedMillis) {
        long current = slotAt(agreedMillis);
        // The agreed time may have been set back.
        lastConsumed = Math.min(lastConsumed, current);
        usedMillis = Math.min(usedMillis, agreedMillis);
        double validFrom = earliestMillis(agreedMillis) - validityMillis();
        long from = Math.max(lastConsumed + 1, (long) Math.floor(validFrom / slotMillis) + 1);
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
