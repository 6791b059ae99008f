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
 * One organisation's limit over all entries, as this entry sees it: a token bucket that its own
 * requests and those its peers tell of draw on.
 *
 * <p>The part of processes that cannot be heard is left to them, of the rate and of what the bucket
 * holds: cut off one by one, all of them together pass what one bucket holds, where each would pass
 * that much otherwise. While none is heard for a moment, they are taken to go on as before, and
 * what they leave may be taken; if they stay unheard it was taken from the own part. A part smaller
 * than a request is saved up until one fits.
 *
 * @since 0.2
 */
public final class QuotaBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Time after which what others took counts a third, in milliseconds: some requests of each. */
    private static final double OTHERS_DECAY_MILLIS = 2_000;

    private RateSpec limit;
    private double level;
    private double unreachableLevel;
    private long updatedMillis;
    private double reachablePart = 1;
    private double maxRequestUnits;
    private boolean assumeOthersActive;
    private double levelIfOthersActive;
    private double partIfOthersActive;
    private double used;
    private double usedByLeaves;
    private double usedByPeers;
    private double recentUseByOthers;
    private long othersUpdatedMillis;
    private double othersPerSecond;

    /**
     * Creates a bucket.
     *
     * @param limit the organisation's limit
     * @param level units it holds at first
     * @param nowMillis the time
     */
    public QuotaBucket(RateSpec limit, double level, long nowMillis) {
        this.limit = limit;
        this.level = level;
        this.updatedMillis = nowMillis;
        this.othersUpdatedMillis = nowMillis;
    }

    /**
     * Takes a request's units if there are enough.
     *
     * @param units the request's size
     * @param nowMillis the time
     * @return 0 if the request may go on, else milliseconds until asking again may help
     */
    public long tryTake(double units, long nowMillis) {
        refill(nowMillis);
        double needed = Math.min(units, limit.burst());
        maxRequestUnits = Math.max(maxRequestUnits, needed);
        if (!limit.limited() || usableLevel() >= needed) {
            take(units);
            used += units;
            return 0;
        }
        double part = assumeOthersActive ? partIfOthersActive : reachablePart;
        double perSecond = Math.max(1, limit.perSecond() * part);
        return Math.max(1, (long) Math.ceil((needed - usableLevel()) * MILLIS_PER_SECOND / perSecond));
    }

    /**
     * Records what peers have taken.
     *
     * @param units units since it was last told
     * @param nowMillis the time
     */
    public void takenByPeers(double units, long nowMillis) {
        refill(nowMillis);
        take(units);
        usedByPeers += units;
        recordUseByOthers(units, nowMillis);
    }

    /**
     * Records what a process has taken that relies on this one to tell the others.
     *
     * @param units units since it was last told
     * @param nowMillis the time
     */
    public void takenByLeaf(double units, long nowMillis) {
        refill(nowMillis);
        take(units);
        usedByLeaves += units;
        recordUseByOthers(units, nowMillis);
    }

    /**
     * Gives units back that a request did not use because it did not run.
     *
     * @param units the request's size
     */
    public void returnUnits(double units) {
        take(-units);
        used -= units;
    }

    /**
     * Changes the limit. A lower limit takes effect at once.
     *
     * @param changed the new limit
     * @param nowMillis the time
     */
    public void limit(RateSpec changed, long nowMillis) {
        refill(nowMillis);
        if (changed.limited() && !limit.limited()) {
            level = changed.burst() * reachablePart;
            unreachableLevel = changed.burst() * (1 - reachablePart);
            levelIfOthersActive = changed.burst();
        }
        limit = changed;
        clampLevels();
    }

    /**
     * Sets the part of the limit that heard entries share.
     *
     * @param part above 0, at most 1; 1 if every peer is heard
     * @param nowMillis the time
     */
    public void sharedPart(double part, long nowMillis) {
        refill(nowMillis);
        split(part);
        assumeOthersActive = false;
        recordUseByOthers(0, nowMillis);
        othersPerSecond = recentUseByOthers * MILLIS_PER_SECOND / OTHERS_DECAY_MILLIS;
    }

    /**
     * Has this entry use what the others leave if they go on as they did when they were last heard.
     * To be called in place of {@link #sharedPart} while it hears nobody for a moment.
     *
     * @param part the part of the limit that is its own, above 0 and at most 1
     * @param nowMillis the time
     */
    public void assumeOthersActive(double part, long nowMillis) {
        refill(nowMillis);
        if (!assumeOthersActive) {
            levelIfOthersActive = level + unreachableLevel;
        }
        split(part);
        double left = limit.limited() ? 1 - othersPerSecond / limit.perSecond() : 1;
        partIfOthersActive = Math.max(part, left);
        assumeOthersActive = true;
    }

    /**
     * Tells that others are heard again that were taken to go on: what they left was free to take.
     *
     * @param nowMillis the time
     */
    public void othersWereActive(long nowMillis) {
        refill(nowMillis);
        if (assumeOthersActive) {
            level = levelIfOthersActive * reachablePart;
            unreachableLevel = levelIfOthersActive * (1 - reachablePart);
        }
    }

    /**
     * Takes over a lower level that a peer knows of, after a start.
     *
     * @param peerLevel the peer's {@link #totalLevel}
     * @param nowMillis the time
     */
    public void capLevel(double peerLevel, long nowMillis) {
        refill(nowMillis);
        double excess = Math.max(0, level + unreachableLevel - peerLevel);
        level -= excess * reachablePart;
        unreachableLevel -= excess * (1 - reachablePart);
        levelIfOthersActive = Math.min(levelIfOthersActive, peerLevel);
    }

    /**
     * Tells whether some units are much of what the limit allows at once, or in a second if that is
     * more.
     *
     * @param units units
     * @param part a part of that
     * @return false if they are less than it, or nothing is limited
     */
    public boolean isLargePart(double units, double part) {
        double most = Math.max(limit.burst(), limit.perSecond());
        return limit.limited() && units >= most * part;
    }

    /**
     * Returns all units this entry has let pass since its start, to be told to peers.
     *
     * @return units
     */
    public double used() {
        return used;
    }

    /**
     * Returns all units that this entry, and those that rely on it, have let pass.
     *
     * @return units
     */
    public double usedByGroup() {
        return used + usedByLeaves;
    }

    /**
     * Returns all units that this entry has let pass or was told of.
     *
     * @return units
     */
    public double usedByAll() {
        return used + usedByLeaves + usedByPeers;
    }

    /**
     * Returns the units that this entry may let pass.
     *
     * @param nowMillis the time
     * @return units; below 0 if peers have taken more than there was
     */
    public double level(long nowMillis) {
        refill(nowMillis);
        return usableLevel();
    }

    /**
     * Returns the units left if those that are not heard have taken nothing but their part of the
     * rate since.
     *
     * @param nowMillis the time
     * @return units; below 0 if more was taken than there was
     */
    public double totalLevel(long nowMillis) {
        refill(nowMillis);
        return assumeOthersActive ? levelIfOthersActive : level + unreachableLevel;
    }

    private double usableLevel() {
        return assumeOthersActive ? levelIfOthersActive : level;
    }

    private void take(double units) {
        level -= units;
        levelIfOthersActive -= units;
    }

    /** Divides what there is anew between those that are heard and those that are not. */
    private void split(double part) {
        double moved =
                part <= reachablePart
                        ? level * (part - reachablePart) / reachablePart
                        : unreachableLevel * (part - reachablePart) / (1 - reachablePart);
        level += moved;
        unreachableLevel -= moved;
        reachablePart = part;
        maxRequestUnits = part < 1 ? maxRequestUnits : 0;
    }

    private void recordUseByOthers(double units, long nowMillis) {
        double elapsed = Math.max(0, nowMillis - othersUpdatedMillis);
        recentUseByOthers = recentUseByOthers * Math.exp(-elapsed / OTHERS_DECAY_MILLIS) + units;
        othersUpdatedMillis = Math.max(othersUpdatedMillis, nowMillis);
    }

    private void refill(long nowMillis) {
        double elapsed = Math.max(0, nowMillis - updatedMillis) / MILLIS_PER_SECOND;
        level += elapsed * limit.perSecond() * reachablePart;
        levelIfOthersActive += elapsed * limit.perSecond() * partIfOthersActive;
        clampLevels();
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }

    private void clampLevels() {
        level = Math.min(level, Math.max(limit.burst() * reachablePart, maxRequestUnits));
        unreachableLevel = Math.min(unreachableLevel, limit.burst() * (1 - reachablePart));
        levelIfOthersActive = Math.min(levelIfOthersActive, limit.burst());
    }
}
