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
package io.trailladder.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Admits requests of one organisation, its own and those of other processes, from a {@link
 * LimitAccount}. Requests for which the account holds too little wait for units of the process that
 * this one relies on; without such a process they are refused at once.
 *
 * @since 0.5
 */
public final class UnitQueue {
    /**
     * Maximum time that a request of another process waits here, in milliseconds. It covers one
     * unanswered request of this process, and is less than the time after which a leaf counts its
     * hub as unresponsive.
     */
    public static final long MAX_PEER_WAIT_MILLIS = 90;

    /**
     * Time for which no units are requested after the answer that there are none, in milliseconds.
     */
    static final long EMPTY_PAUSE_MILLIS = 150;

    /**
     * Maximum time to come back that is given to a refused caller, in milliseconds. Beyond it the
     * demand is too uncertain.
     */
    public static final long MAX_WAIT_MILLIS = 4_000;

    /** Part of the units left over that is given in addition to those that are needed. */
    private static final double MAX_EXTRA_RATIO = 0.5;

    /** Part of the units kept here below which units of other processes would be used. */
    private static final double MAX_SHORT_RATIO = 0.9;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LimitAccount account;
    private final Supplier supplier;
    private final RetryTimes retryTimes;
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long askedMillis = NEVER;
    private long emptyUntilMillis = NEVER;
    private double refusedUnits;

    /**
     * A request for units.
     *
     * @param needed the least units that help, at least 0
     * @param wanted the units that can be used at once, at least {@code needed}
     * @param refused the units of requests refused since the last request for units
     */
    public record Demand(double needed, double wanted, double refused) {
        /**
         * Returns whether all figures are possible.
         *
         * @return false for values that are not finite, or below 0
         */
        public boolean isValid() {
            boolean finite = Double.isFinite(wanted) && Double.isFinite(refused);
            return finite && needed >= 0 && wanted >= needed && refused >= 0;
        }
    }

    /** The process that this one asks for units. */
    public interface Supplier {
        /**
         * Returns whether this process relies on another one.
         *
         * @return true also while the other one is unreachable
         */
        boolean exists();

        /**
         * Sends a request for units.
         *
         * @param demand the units
         * @return false if the process is unreachable at the moment
         */
        boolean ask(Demand demand);

        /**
         * Returns the time after which a request counts as unanswered.
         *
         * @return the time, in milliseconds
         */
        long replyTimeoutMillis();

        /** Notifies that the last request for units was not answered in time. */
        void unanswered();
    }

    /** The result of a request. */
    public interface Outcome {
        /**
         * The request is admitted.
         *
         * @param units the units taken for it
         */
        void granted(double units);

        /**
         * The request is refused.
         *
         * @param waitMillis the time after which another attempt may succeed, in milliseconds
         */
        void refused(long waitMillis);

        /** The limit no longer exists, so that nothing was decided by it. */
        void withdrawn();
    }

    /** A request that waits for units. */
    private record Waiter(Demand demand, boolean extra, long deadlineMillis, Outcome outcome) {}

    /**
     * Creates a queue.
     *
     * @param account the units held here
     * @param supplier asks another process for units
     */
    public UnitQueue(LimitAccount account, Supplier supplier) {
        this.account = account;
        this.supplier = supplier;
        this.retryTimes = new RetryTimes(account);
    }

    /**
     * Requests the units of a caller's request.
     *
     * @param units size of the request
     * @param maxWaitMillis maximum time to wait for units, in milliseconds
     * @param outcome receives the result, perhaps during this call
     * @param nowMillis the current time, in milliseconds
     */
    public void request(double units, long maxWaitMillis, Outcome outcome, long nowMillis) {
        Demand demand = new Demand(units, units, 0);
        admit(new Waiter(demand, false, nowMillis + maxWaitMillis, outcome), nowMillis);
    }

    /**
     * Requests units for another process.
     *
     * @param demand the units
     * @param outcome receives the result, perhaps during this call
     * @param nowMillis the current time, in milliseconds
     */
    public void requestOfPeer(Demand demand, Outcome outcome, long nowMillis) {
        refusedUnits += demand.refused();
        admit(new Waiter(demand, true, nowMillis + MAX_PEER_WAIT_MILLIS, outcome), nowMillis);
    }

    private void admit(Waiter waiter, long nowMillis) {
        OptionalDouble taken = tryTake(waiter, nowMillis);
        if (taken.isPresent()) {
            waiter.outcome().granted(taken.getAsDouble());
            return;
        }
        if (nowMillis < emptyUntilMillis) {
            refuse(waiter, nowMillis);
            return;
        }
        waiters.add(waiter);
        askIfIdle(nowMillis);
    }

    /** Takes the units of a request, and some more for a process that can use them. */
    private OptionalDouble tryTake(Waiter waiter, long nowMillis) {
        Demand demand = waiter.demand();
        if (!account.tryTake(demand.needed(), nowMillis)) {
            return OptionalDouble.empty();
        }
        double units = demand.needed();
        if (waiter.extra()) {
            double left = Math.max(0, account.units(nowMillis));
            double extra = Math.min(demand.wanted() - demand.needed(), left * MAX_EXTRA_RATIO);
            account.charge(extra, nowMillis);
            units += extra;
        }
        return OptionalDouble.of(units);
    }

    /**
     * Handles the answer to a request for units.
     *
     * @param units the units received; 0 if there are none
     * @param waitMillis the time after which there may be some, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void answered(double units, long waitMillis, long nowMillis) {
        askedMillis = NEVER;
        account.add(units, nowMillis);
        if (units <= 0) {
            emptyUntilMillis = nowMillis + Math.min(waitMillis, EMPTY_PAUSE_MILLIS);
            retryTimes.told(waitMillis, nowMillis);
        }
        serve(nowMillis);
        if (units <= 0) {
            refuseAll(nowMillis);
        } else {
            askIfIdle(nowMillis);
        }
    }

    /**
     * Refuses requests that have waited for their time, and detects that no answer came.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void tick(long nowMillis) {
        if (askedMillis != NEVER && nowMillis - askedMillis >= supplier.replyTimeoutMillis()) {
            askedMillis = NEVER;
            supplier.unanswered();
        }
        if (!waiters.isEmpty()) {
            serve(nowMillis);
            List<Waiter> expired = new ArrayList<>();
            for (Waiter waiter : waiters) {
                if (nowMillis >= waiter.deadlineMillis()) {
                    expired.add(waiter);
                }
            }
            waiters.removeAll(expired);
            expired.forEach(waiter -> expire(waiter, nowMillis));
            askIfIdle(nowMillis);
        }
    }

    /** Gives another process what there is, so that it may go on; a caller is refused. */
    private void expire(Waiter waiter, long nowMillis) {
        double held = account.units(nowMillis);
        if (waiter.extra() && held > 0) {
            account.charge(held, nowMillis);
            waiter.outcome().granted(held);
        } else {
            refuse(waiter, nowMillis);
        }
    }

    /** Ends all waits, because the limit no longer exists. */
    public void close() {
        askedMillis = NEVER;
        while (!waiters.isEmpty()) {
            waiters.remove().outcome().withdrawn();
        }
    }

    /** Forgets the last request for units, because the process that was asked is lost. */
    public void supplierLost() {
        askedMillis = NEVER;
    }

    /**
     * Returns whether {@link #tick} has anything to do.
     *
     * @return true while requests wait or an answer is due
     */
    public boolean isWaiting() {
        return askedMillis != NEVER || !waiters.isEmpty();
    }

    /**
     * Returns whether units of other processes would be used here.
     *
     * @return true if the units held are few
     * @param nowMillis the current time, in milliseconds
     */
    public boolean isShort(long nowMillis) {
        double low = MAX_SHORT_RATIO * account.keptUnits();
        return !waiters.isEmpty() || account.units(nowMillis) < low;
    }

    /** Grants requests in their order. An outcome may lead to another request to this queue. */
    private void serve(long nowMillis) {
        while (!waiters.isEmpty()) {
            OptionalDouble taken = tryTake(waiters.peek(), nowMillis);
            if (taken.isEmpty()) {
                return;
            }
            waiters.remove().outcome().granted(taken.getAsDouble());
        }
    }

    private void askIfIdle(long nowMillis) {
        if (waiters.isEmpty() || askedMillis != NEVER) {
            return;
        }
        if (!supplier.exists()) {
            refuseAll(nowMillis);
            return;
        }
        double held = account.units(nowMillis);
        double needed = Math.max(0, waiters.peek().demand().needed() - held);
        double wanted = account.keptUnits() - held;
        for (Waiter waiter : waiters) {
            wanted += waiter.demand().wanted();
        }
        // without an answer, tick asks again until the requests have waited for their time
        if (supplier.ask(new Demand(needed, Math.max(needed, wanted), refusedUnits))) {
            askedMillis = nowMillis;
            refusedUnits = 0;
        }
    }

    private void refuseAll(long nowMillis) {
        while (!waiters.isEmpty()) {
            refuse(waiters.remove(), nowMillis);
        }
    }

    private void refuse(Waiter waiter, long nowMillis) {
        waiter.outcome().refused(waitMillis(waiter.demand().needed(), nowMillis));
    }

    /** Returns when to come back: as the process that was asked last answered, or in turn. */
    private long waitMillis(double needed, long nowMillis) {
        if (supplier.exists()) {
            refusedUnits += needed;
            return retryTimes.asTold(nowMillis);
        }
        long waitMillis = retryTimes.next(needed, refusedUnits, nowMillis);
        refusedUnits = 0;
        return waitMillis;
    }
}
