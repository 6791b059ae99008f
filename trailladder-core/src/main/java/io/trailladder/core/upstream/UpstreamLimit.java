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

/** What is known of one upstream's limit, and its send slots. */
final class UpstreamLimit {
    /**
     * How far in the future a reported use may be, in milliseconds; the agreed times of processes
     * differ by less.
     */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 100;

    /**
     * How long an ended limit is kept, so that disconnected peers learn of its end, in
     * milliseconds.
     */
    private static final long ENDED_RETENTION_MILLIS = 60_000;

    /** How long a report about an unlisted upstream is kept, in milliseconds. */
    private static final long UNLISTED_RETENTION_MILLIS = 10_000;

    private LimitReport current;
    private SendSlots slots;

    /**
     * Creates the state of a limit that an upstream names.
     *
     * @param report the report that names it
     * @param agreedMillis the agreed time of day
     */
    UpstreamLimit(LimitReport report, long agreedMillis) {
        start(report, agreedMillis);
    }

    private void start(LimitReport report, long agreedMillis) {
        current = report;
        double perSecond = report.limit().perSecond();
        slots = new SendSlots(report.upstream(), perSecond, report.usedMillis(), agreedMillis);
    }

    SendSlots slots() {
        return slots;
    }

    boolean isNamed() {
        return current.limit().isNamed();
    }

    long startedMillis() {
        return current.startedMillis();
    }

    /**
     * Applies a report about the same incarnation if it is newer.
     *
     * @return true if the limit has changed, begun again or ended by it
     */
    boolean replace(LimitReport report, long agreedMillis) {
        if (!report.replaces(current)) {
            return false;
        }
        if (report.limit().isNamed() && !isNamed()) {
            start(report, agreedMillis);
            return true;
        }
        boolean changed = !report.limit().equals(current.limit());
        current = report;
        if (changed && report.limit().isNamed()) {
            slots.changeRate(report.limit().perSecond());
        }
        return changed;
    }

    /**
     * Records when the limit was last used. A use in the future is ignored: the clock of the
     * process that reported it is wrong.
     *
     * @return true if peers must be notified, which is the case only below one request per second
     */
    boolean recordUse(LimitReport report, long agreedMillis) {
        boolean isPast = report.usedMillis() <= agreedMillis + MAX_CLOCK_DIFFERENCE_MILLIS;
        boolean isLater = isPast && slots.recordUse(report.usedMillis());
        return isLater && slots.isLowRate() && isNamed();
    }

    LimitReport report() {
        return current.usedAt(slots.usedMillis());
    }

    /**
     * Returns whether this limit can be discarded: its end, or that of the upstream, is some time
     * ago.
     */
    boolean isOutdated(UpstreamDirectory directory, long nowMillis) {
        long age = nowMillis - current.receivedMillis();
        if (!isNamed()) {
            return age > ENDED_RETENTION_MILLIS;
        }
        Optional<Upstream> listed = directory.find(current.upstream());
        boolean isRunning = listed.isPresent() && listed.get().startedMillis() <= startedMillis();
        return !isRunning && age > UNLISTED_RETENTION_MILLIS;
    }
}
