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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** What is believed of limits, and the turns of one process. */
class UpstreamLimitsTest {
    private static final long BEGIN_MILLIS = 1_700_000_000_000L;
    private static final LimitNotice ONE = LimitNotice.of(1);

    private long now = BEGIN_MILLIS;
    private final UpstreamLimits limits =
            new UpstreamLimits(() -> now, upstream -> new TurnOrder(0, 1));

    private static Upstream upstream(long bornMillis) {
        return new Upstream("w", "m", "a", "127.0.0.1:1", 8, false, false, 0, "", 0, bornMillis);
    }

    private final Upstream upstream = upstream(5);

    /** Lets time pass and has an answer come to a request that was sent some time before. */
    private boolean answered(long afterMillis, LimitNotice says, long sentBeforeMillis) {
        now += afterMillis;
        return limits.answered(upstream, says, now - sentBeforeMillis, now);
    }

    @Example
    void oneThatNamesNothingIsNotLimited() {
        assertFalse(answered(0, LimitNotice.ABSENT, 10));
        assertFalse(answered(0, LimitNotice.UNREADABLE, 10));
        assertTrue(limits.isEmpty());
        assertEquals(0, limits.waitMillis(upstream));
    }

    @Example
    void answerToARequestSentLaterEndsALimit() {
        assertTrue(answered(0, ONE, 10));
        assertTrue(limits.isLimited(upstream));
        assertTrue(answered(100, LimitNotice.ABSENT, 50));
        assertFalse(limits.isLimited(upstream));
    }

    @Example
    void answerThatWasOvertakenEndsNothing() {
        answered(0, ONE, 10);
        assertFalse(answered(100, LimitNotice.ABSENT, 150), "sent before the limit was named");
        assertTrue(limits.isLimited(upstream));
        assertFalse(answered(100, LimitNotice.UNREADABLE, 50));
        assertTrue(limits.isLimited(upstream));
    }

    @Example
    void anotherNumberReplacesALimit() {
        answered(0, ONE, 10);
        assertFalse(answered(100, ONE, 10), "no news");
        assertTrue(answered(100, LimitNotice.of(50), 10));
        assertEquals(20, limits.ownEveryMillis(upstream), 0.001);
        assertTrue(answered(100, LimitNotice.of(0.5), 10));
        assertEquals(2_000, limits.ownEveryMillis(upstream), 0.001);
    }

    @Example
    void limitEndsWithTheLifeThatNamedIt() {
        answered(0, ONE, 10);
        assertFalse(limits.isLimited(upstream(6)));
        assertTrue(limits.answered(upstream(6), LimitNotice.of(4), now, now));
        assertFalse(limits.answered(upstream, ONE, now, now), "a former life");
        assertEquals(250, limits.ownEveryMillis(upstream(6)), 0.001);
    }

    @Example
    void turnIsTakenOnceAndGivenBack() {
        answered(0, ONE, 10);
        assertEquals(Optional.empty(), limits.take(upstream), "the turn that has begun is passed");
        now += 1_000;
        LimitTurn turn = limits.take(upstream).orElseThrow();
        assertEquals(Optional.empty(), limits.take(upstream));
        limits.giveBack(turn);
        assertTrue(limits.take(upstream).isPresent());
    }

    @Example
    void turnOfARareLimitThatIsGivenBackLeavesItUnused() {
        answered(0, LimitNotice.of(0.5), 10);
        now += 2_000;
        LimitTurn turn = limits.take(upstream).orElseThrow();
        assertTrue(limits.waitMillis(upstream) > 1_000, "used");
        limits.giveBack(turn);
        assertEquals(0, limits.waitMillis(upstream));
        LimitTurn again = limits.take(upstream).orElseThrow();
        now += 10;
        limits.told(new LimitReport("w", 5, LimitNotice.of(0.5), now, now, now));
        limits.giveBack(again);
        assertTrue(limits.waitMillis(upstream) > 1_000, "another process has used it");
    }

    @Example
    void saidWaitIsOver() {
        for (double perSecond : new double[] {0, 0.2, 1, 3, 7, 500}) {
            assertTrue(answered(10, LimitNotice.of(perSecond), 10));
            for (int i = 0; i < 5; i++) {
                now += limits.waitMillis(upstream);
                assertTrue(limits.take(upstream).isPresent(), perSecond + " a second");
            }
        }
    }

    @Example
    void clockThatIsSetBackStopsNothing() {
        answered(0, ONE, 10);
        now -= 3_600_000;
        assertTrue(limits.waitMillis(upstream) <= 1_000, limits.waitMillis(upstream) + " ms");
        now += 7_200_000;
        assertTrue(limits.take(upstream).isPresent());
        assertEquals(Optional.empty(), limits.take(upstream), "nothing is saved up");
    }

    @Example
    void peersAreToldOfChangesOnly() {
        List<String> news = new ArrayList<>();
        limits.onNews(news::add);
        answered(0, ONE, 10);
        answered(100, ONE, 10);
        assertEquals(List.of("w"), news);
        answered(100, LimitNotice.of(0.5), 10);
        now += 2_000;
        limits.sent(limits.take(upstream).orElseThrow());
        assertEquals(List.of("w", "w", "w"), news, "less than one a second: each use");
    }

    /** All that the processes tell each other in any order brings them to the same belief. */
    @Example
    void whatIsToldIsTheSameInAnyOrder() {
        LimitReport first = new LimitReport("w", 5, ONE, now, now + 10, now);
        LimitReport second = new LimitReport("w", 5, LimitNotice.of(2), now, now + 20, now);
        LimitReport ended = new LimitReport("w", 5, LimitNotice.ABSENT, now + 200, now + 210, now);
        for (List<LimitReport> order :
                List.of(List.of(first, second, ended), List.of(second, first, ended, first))) {
            UpstreamLimits other = new UpstreamLimits(() -> now, any -> new TurnOrder(0, 1));
            order.forEach(report -> other.told(report));
            assertFalse(other.isLimited(upstream));
            assertEquals(Optional.of(ended.limit()), other.report("w").map(LimitReport::limit));
        }
    }

    /** Told round in a circle, it must not seem new each time: its end would not be believed. */
    @Example
    void whatIsToldAgainGrowsNoYounger() {
        UpstreamLimits other = new UpstreamLimits(() -> now, any -> new TurnOrder(0, 1));
        answered(0, LimitNotice.of(0.5), 10);
        for (int i = 0; i < 50; i++) {
            now += 90;
            other.told(later(limits.report("w").orElseThrow()));
            limits.told(later(other.report("w").orElseThrow()));
        }
        LimitReport known = limits.report("w").orElseThrow();
        assertEquals(BEGIN_MILLIS, known.heardMillis());
        assertEquals(BEGIN_MILLIS - 10, known.usedMillis());
    }

    /** Returns a report as it seems after a way that its ages do not tell of. */
    private static LimitReport later(LimitReport report) {
        return new LimitReport(
                report.upstream(),
                report.bornMillis(),
                report.limit(),
                report.sentMillis() + 90,
                report.heardMillis() + 90,
                report.usedMillis());
    }

    /** A process whose clock was wrong told of it. */
    @Example
    void useThatIsYetToComeIsPassedOver() {
        answered(0, LimitNotice.of(0.5), 10);
        limits.told(new LimitReport("w", 5, LimitNotice.of(0.5), now, now, now + 3_600_000));
        assertTrue(limits.waitMillis(upstream) <= 3_000, limits.waitMillis(upstream) + " ms");
    }

    @Example
    void goneUpstreamsAreForgotten() {
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.changed(upstream);
        answered(0, ONE, 10);
        now += 100_000;
        limits.forgetGone(directory, now);
        assertTrue(limits.isLimited(upstream), "nobody asks it, so nobody knows that it ended");
        directory.removed("w");
        limits.forgetGone(directory, now);
        assertTrue(limits.isEmpty());
    }
}
