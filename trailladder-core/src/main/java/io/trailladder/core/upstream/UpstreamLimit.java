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

/** What is believed of one upstream's limit, and the turns at it. */
final class UpstreamLimit {
    /** How far a use may be yet to come, in milliseconds: agreed times differ by less. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 100;

    /** How long the end of a limit is kept, for peers that were cut off, in milliseconds. */
    private static final long ENDED_RETENTION_MILLIS = 60_000;

    /** How long what is told of an upstream is kept though it is not listed yet. */
    private static final long UNLISTED_RETENTION_MILLIS = 10_000;

    private LimitReport current;
    private SendSlots slots;

    /**
     * Creates the belief in a limit that is named.
     *
     * @param believed what names it
     * @param agreedMillis the agreed time of day
     */
    UpstreamLimit(LimitReport believed, long agreedMillis) {
        start(believed, agreedMillis);
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
     * Takes over a later word of the same life.
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
     * Takes over when the limit was last used. One that is yet to come was told by a process whose
     * clock is wrong.
     *
     * @return true if peers must know: only if there is less than a request a second
     */
    boolean recordUse(LimitReport report, long agreedMillis) {
        boolean hasBeen = report.usedMillis() <= agreedMillis + MAX_CLOCK_DIFFERENCE_MILLIS;
        boolean news = hasBeen && slots.recordUse(report.usedMillis());
        return news && slots.isLowRate() && isNamed();
    }

    LimitReport report() {
        return current.usedAt(slots.usedMillis());
    }

    /**
     * Tells whether nobody needs it any more: the upstream, or the limit, has ended a while ago.
     */
    boolean isOutdated(UpstreamDirectory directory, long nowMillis) {
        long age = nowMillis - current.receivedMillis();
        if (!isNamed()) {
            return age > ENDED_RETENTION_MILLIS;
        }
        Optional<Upstream> listed = directory.find(current.upstream());
        boolean lives = listed.isPresent() && listed.get().startedMillis() <= startedMillis();
        return !lives && age > UNLISTED_RETENTION_MILLIS;
    }
}
