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

/**
 * Determines when refused callers of one organisation may retry. Each is given a time after those
 * that were refused before it, so that they do not all return at one moment.
 */
final class RetryTimes {
    /** Time to come back if a request for units was not answered, in milliseconds. */
    private static final long UNANSWERED_WAIT_MILLIS = 200;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LimitAccount account;
    private long toldUntilMillis = NEVER;
    private double promisedUnits;
    private long promisedMillis;

    RetryTimes(LimitAccount account) {
        this.account = account;
    }

    /** Records the time that the process which was asked for units gave. */
    void told(long waitMillis, long nowMillis) {
        toldUntilMillis = nowMillis + waitMillis;
    }

    /** Returns the time that the process which was asked gave, in milliseconds from now. */
    long asTold(long nowMillis) {
        return toldUntilMillis > nowMillis ? toldUntilMillis - nowMillis : UNANSWERED_WAIT_MILLIS;
    }

    /**
     * Returns the time until the units of a request have accrued after those of earlier ones.
     *
     * @param needed the units
     * @param alsoRefused units of other requests that are refused and come back
     * @param nowMillis the current time, in milliseconds
     * @return at most {@link UnitQueue#MAX_WAIT_MILLIS}
     */
    long next(double needed, double alsoRefused, long nowMillis) {
        double missing = needed - account.units(nowMillis) + promised(nowMillis);
        promisedUnits += needed + alsoRefused;
        return Math.min(UnitQueue.MAX_WAIT_MILLIS, account.accrualMillis(missing));
    }

    /** Returns the units for which refused callers were told to come back, less those accrued. */
    private double promised(long nowMillis) {
        double accrued = account.accruedUnits(nowMillis - promisedMillis);
        double most = account.accruedUnits(UnitQueue.MAX_WAIT_MILLIS);
        promisedUnits = Math.max(0, Math.min(most, promisedUnits) - accrued);
        promisedMillis = nowMillis;
        return promisedUnits;
    }
}
