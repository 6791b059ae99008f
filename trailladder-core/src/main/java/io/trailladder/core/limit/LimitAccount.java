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

import io.trailladder.core.policy.RateSpec;

/**
 * The units of one organisation's limit that this process holds.
 *
 * <p>Every unit that a limit allows accrues at one process only: each process accrues an equal part
 * of the rate. Units are moved from one process to another, never copied, so that all processes
 * together spend no more than they have accrued, whatever they know of each other. A unit that is
 * lost on the way, or with a process, is not spent at all.
 *
 * <pre>{@code
 * LimitAccount account = new LimitAccount(limit, 0, now);
 * account.share(new LimitAccount.Share(1 / 80.0, 0, 0), now);
 * if (account.tryTake(request.units(), now)) {
 *     send(request);
 * }
 * }</pre>
 *
 * @since 0.5
 */
public final class LimitAccount {
    /** Part of the capacity that the processes hold for themselves, the rest is pooled. */
    private static final double KEPT_RATIO = 0.25;

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Part of a full pool below which units of other processes are needed. */
    private static final double LOW_RATIO = 0.75;

    /**
     * Time within which units that accrue at a process without a pool are given to another one, in
     * milliseconds: two digests.
     */
    private static final long MOVING_MILLIS = 400;

    /**
     * Time without any call, in milliseconds, after which pooled units are dropped: the process did
     * not run, and others may have accrued the same part of the pool again.
     */
    private static final long MAX_PAUSE_MILLIS = 1_000;

    /** Part of the rate above which a group is the only one that gives credit for any size. */
    private static final double MAJORITY = 0.5;

    /** Time given while nothing accrues, because the other processes are not known yet. */
    private static final long UNKNOWN_ACCRUAL_MILLIS = 200;

    private static final double ROUNDING_UNITS = 1e-6;

    private RateSpec limit;
    private double overdraftUnits;
    private Share share = Share.NONE;
    private double units;
    private long updatedMillis;

    /**
     * What a process may accrue and hold.
     *
     * @param own part of the rate that accrues here, from 0 to 1
     * @param pooled part of the pool that may be held here, from 0 to 1; 0 for a leaf
     * @param group part of the rate that accrues at the processes that rely on this one, from 0 to
     *     1; 0 if this one relies on another
     */
    public record Share(double own, double pooled, double group) {
        /** Nothing accrues, and nothing is held. */
        public static final Share NONE = new Share(0, 0, 0);
    }

    /**
     * Creates an account without units.
     *
     * @param limit the limit over all processes
     * @param overdraftUnits units that all processes together may be granted in advance
     * @param nowMillis the current time, in milliseconds
     */
    public LimitAccount(RateSpec limit, double overdraftUnits, long nowMillis) {
        this.limit = limit;
        this.overdraftUnits = overdraftUnits;
        this.updatedMillis = nowMillis;
    }

    /**
     * Changes the limit. A lower limit takes effect at once.
     *
     * @param changed the new limit
     * @param overdraft units that all processes together may be granted in advance
     * @param nowMillis the current time, in milliseconds
     */
    public void limit(RateSpec changed, double overdraft, long nowMillis) {
        accrue(nowMillis);
        limit = changed;
        overdraftUnits = overdraft;
        units = Math.min(units, capacity());
    }

    /**
     * Sets what this process may accrue and hold.
     *
     * @param changed the new share
     * @param nowMillis the current time, in milliseconds
     */
    public void share(Share changed, long nowMillis) {
        accrue(nowMillis);
        share = changed;
    }

    /**
     * Takes the units above the capacity, which are given to another process or dropped.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the units; 0 if there are none
     */
    public double takeExcess(long nowMillis) {
        accrue(nowMillis);
        double excess = Math.max(0, units - capacity());
        units -= excess;
        return excess;
    }

    /**
     * Returns the rate of the limit.
     *
     * @return units a second over all processes
     */
    public double perSecond() {
        return limit.perSecond();
    }

    /**
     * Returns the burst of the limit.
     *
     * @return units over all processes
     */
    public double burst() {
        return limit.burst();
    }

    /**
     * Returns whether there is a limit.
     *
     * @return false if everything is admitted
     */
    public boolean isLimited() {
        return limit.limited();
    }

    /**
     * Returns whether the limit is counted in tokens.
     *
     * @return false if it is counted in requests
     */
    public boolean isInTokens() {
        return limit.inTokens();
    }

    /**
     * Takes units if there are enough. A request above the capacity is granted on credit once the
     * account is full, if most processes rely on this one or the credit is small.
     *
     * @param requested the units
     * @param nowMillis the current time, in milliseconds
     * @return true if they were taken
     */
    public boolean tryTake(double requested, long nowMillis) {
        if (!limit.limited()) {
            return true;
        }
        accrue(nowMillis);
        boolean enough = units >= requested - ROUNDING_UNITS;
        if (enough || isGrantedOnCredit(requested)) {
            units -= requested;
            return true;
        }
        return false;
    }

    private boolean isGrantedOnCredit(double requested) {
        boolean full = share.group() > 0 && units >= capacity() - ROUNDING_UNITS;
        return full
                && (share.group() > MAJORITY
                        || requested - units <= overdraftUnits * share.group());
    }

    /**
     * Takes units whether or not there are enough. A debt is paid from the units that accrue or
     * arrive next.
     *
     * @param spent the units
     * @param nowMillis the current time, in milliseconds
     */
    public void charge(double spent, long nowMillis) {
        accrue(nowMillis);
        units -= limit.limited() ? spent : 0;
    }

    /**
     * Adds units that another process gave, or that were taken and not used.
     *
     * @param received the units
     * @param nowMillis the current time, in milliseconds
     */
    public void add(double received, long nowMillis) {
        accrue(nowMillis);
        units += received;
    }

    /**
     * Takes the units that this process does not need for itself, to be given to another one.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the units; 0 if there are none
     */
    public double takeSurplus(long nowMillis) {
        accrue(nowMillis);
        double surplus = Math.max(0, units - keptUnits());
        units -= surplus;
        return surplus;
    }

    /**
     * Returns the units held.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the units; below 0 if more were spent
     */
    public double units(long nowMillis) {
        accrue(nowMillis);
        return units;
    }

    /**
     * Returns the units that this process holds for itself when others have a need too.
     *
     * @return the units
     */
    public double keptUnits() {
        return limit.burst() * (KEPT_RATIO * share.own() + LOW_RATIO * pooledRatio());
    }

    /**
     * Returns the maximum of the units that accrue here.
     *
     * @return the units
     */
    public double capacity() {
        double moving =
                share.pooled() > 0
                        ? 0
                        : limit.perSecond() * share.own() * MOVING_MILLIS / MILLIS_PER_SECOND;
        return limit.burst() * (KEPT_RATIO * share.own() + pooledRatio()) + moving;
    }

    private double pooledRatio() {
        return (1 - KEPT_RATIO) * share.pooled();
    }

    /**
     * Returns the time in which units accrue at the processes that share the pool of this one.
     *
     * @param missing the units
     * @return the time, in milliseconds; at least 1
     */
    public long accrualMillis(double missing) {
        double perMilli = accruedUnits(1);
        return perMilli > 0
                ? Math.max(1, (long) Math.ceil(missing / perMilli))
                : UNKNOWN_ACCRUAL_MILLIS;
    }

    /**
     * Returns the units that accrue at the processes that share the pool of this one.
     *
     * @param millis a time, in milliseconds
     * @return the units
     */
    public double accruedUnits(long millis) {
        double part = Math.max(share.own(), share.group());
        return limit.perSecond() * part * millis / MILLIS_PER_SECOND;
    }

    private void accrue(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - updatedMillis);
        updatedMillis = Math.max(updatedMillis, nowMillis);
        double accrued = elapsed * limit.perSecond() * share.own() / MILLIS_PER_SECOND;
        if (elapsed > MAX_PAUSE_MILLIS) {
            units = Math.min(units + accrued, limit.burst() * share.own());
        } else {
            units = Math.max(units, Math.min(units + accrued, capacity()));
        }
    }
}
