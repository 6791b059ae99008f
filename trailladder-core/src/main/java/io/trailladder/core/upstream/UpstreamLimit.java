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
    private static final long TIMES_DIFFER_MILLIS = 100;

    /** How long the end of a limit is kept, for peers that were cut off, in milliseconds. */
    private static final long ENDED_MILLIS = 60_000;

    /** How long what is told of an upstream is kept though it is not listed yet. */
    private static final long UNLISTED_MILLIS = 10_000;

    private LimitReport believed;
    private LimitTurns turns;

    /**
     * Creates the belief in a limit that is named.
     *
     * @param believed what names it
     * @param agreedMillis the agreed time of day
     */
    UpstreamLimit(LimitReport believed, long agreedMillis) {
        begin(believed, agreedMillis);
    }

    private void begin(LimitReport report, long agreedMillis) {
        believed = report;
        double perSecond = report.limit().perSecond();
        turns = new LimitTurns(report.upstream(), perSecond, report.usedMillis(), agreedMillis);
    }

    LimitTurns turns() {
        return turns;
    }

    boolean isNamed() {
        return believed.limit().isNamed();
    }

    long bornMillis() {
        return believed.bornMillis();
    }

    /**
     * Takes over a later word of the same life.
     *
     * @return true if the limit has changed, begun again or ended by it
     */
    boolean replace(LimitReport report, long agreedMillis) {
        if (!report.replaces(believed)) {
            return false;
        }
        if (report.limit().isNamed() && !isNamed()) {
            begin(report, agreedMillis);
            return true;
        }
        boolean changed = !report.limit().equals(believed.limit());
        believed = report;
        if (changed && report.limit().isNamed()) {
            turns.perSecond(report.limit().perSecond());
        }
        return changed;
    }

    /**
     * Takes over when the limit was last used. One that is yet to come was told by a process whose
     * clock is wrong.
     *
     * @return true if peers must know: only if there is less than a request a second
     */
    boolean used(LimitReport report, long agreedMillis) {
        boolean hasBeen = report.usedMillis() <= agreedMillis + TIMES_DIFFER_MILLIS;
        boolean news = hasBeen && turns.used(report.usedMillis());
        return news && turns.isRare() && isNamed();
    }

    LimitReport report() {
        return believed.usedAt(turns.usedMillis());
    }

    /**
     * Tells whether nobody needs it any more: the upstream, or the limit, has ended a while ago.
     */
    boolean isOver(UpstreamDirectory directory, long nowMillis) {
        long age = nowMillis - believed.heardMillis();
        if (!isNamed()) {
            return age > ENDED_MILLIS;
        }
        Optional<Upstream> listed = directory.find(believed.upstream());
        boolean lives = listed.isPresent() && listed.get().bornMillis() <= bornMillis();
        return !lives && age > UNLISTED_MILLIS;
    }
}
