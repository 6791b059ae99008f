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
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final LimitNotice ONE = LimitNotice.of(1);

    private long now = START_MILLIS;
    private final UpstreamLimits limits =
            new UpstreamLimits(() -> now, upstream -> new SendSlotOrder(0, 1));

    private static Upstream upstream(long bornMillis) {
        return new Upstream("w", "m", "a", "127.0.0.1:1", 8, false, false, 0, "", 0, bornMillis);
    }

    private final Upstream upstream = upstream(5);

    /** Lets time pass and has an answer come to a request that was sent some time before. */
    private boolean answered(long afterMillis, LimitNotice says, long sentBeforeMillis) {
        now += afterMillis;
        return limits.answerReceived(upstream, says, now - sentBeforeMillis, now);
    }

    @Example
    void upstreamWithoutALimitIsNotLimited() {
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
    void overtakenAnswerDoesNotEndALimit() {
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
        assertEquals(20, limits.ownIntervalMillis(upstream), 0.001);
        assertTrue(answered(100, LimitNotice.of(0.5), 10));
        assertEquals(2_000, limits.ownIntervalMillis(upstream), 0.001);
    }

    @Example
    void limitEndsWithTheIncarnationThatNamedIt() {
        answered(0, ONE, 10);
        assertFalse(limits.isLimited(upstream(6)));
        assertTrue(limits.answerReceived(upstream(6), LimitNotice.of(4), now, now));
        assertFalse(limits.answerReceived(upstream, ONE, now, now), "a former life");
        assertEquals(250, limits.ownIntervalMillis(upstream(6)), 0.001);
    }

    @Example
    void slotIsTakenOnceAndReturned() {
        answered(0, ONE, 10);
        assertEquals(Optional.empty(), limits.take(upstream), "the turn that has begun is passed");
        now += 1_000;
        SendSlot turn = limits.take(upstream).orElseThrow();
        assertEquals(Optional.empty(), limits.take(upstream));
        limits.returnSlot(turn);
        assertTrue(limits.take(upstream).isPresent());
    }

    @Example
    void returnedSlotOfALimitBelowOnePerSecondLeavesItUnused() {
        answered(0, LimitNotice.of(0.5), 10);
        now += 2_000;
        SendSlot turn = limits.take(upstream).orElseThrow();
        assertTrue(limits.waitMillis(upstream) > 1_000, "used");
        limits.returnSlot(turn);
        assertEquals(0, limits.waitMillis(upstream));
        SendSlot again = limits.take(upstream).orElseThrow();
        now += 10;
        limits.reportReceived(new LimitReport("w", 5, LimitNotice.of(0.5), now, now, now));
        limits.returnSlot(again);
        assertTrue(limits.waitMillis(upstream) > 1_000, "another process has used it");
    }

    @Example
    void requestIsAllowedAfterTheReturnedWait() {
        for (double perSecond : new double[] {0, 0.2, 1, 3, 7, 500}) {
            assertTrue(answered(10, LimitNotice.of(perSecond), 10));
            for (int i = 0; i < 5; i++) {
                now += limits.waitMillis(upstream);
                assertTrue(limits.take(upstream).isPresent(), perSecond + " a second");
            }
        }
    }

    @Example
    void clockSetBackDoesNotBlockRequests() {
        answered(0, ONE, 10);
        now -= 3_600_000;
        assertTrue(limits.waitMillis(upstream) <= 1_000, limits.waitMillis(upstream) + " ms");
        now += 7_200_000;
        assertTrue(limits.take(upstream).isPresent());
        assertEquals(Optional.empty(), limits.take(upstream), "nothing is saved up");
    }

    @Example
    void onlyChangesAreReportedToPeers() {
        List<String> news = new ArrayList<>();
        limits.onUpdate(news::add);
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
    void reportsConvergeInAnyOrder() {
        LimitReport first = new LimitReport("w", 5, ONE, now, now + 10, now);
        LimitReport second = new LimitReport("w", 5, LimitNotice.of(2), now, now + 20, now);
        LimitReport ended = new LimitReport("w", 5, LimitNotice.ABSENT, now + 200, now + 210, now);
        for (List<LimitReport> order :
                List.of(List.of(first, second, ended), List.of(second, first, ended, first))) {
            UpstreamLimits other = new UpstreamLimits(() -> now, any -> new SendSlotOrder(0, 1));
            order.forEach(report -> other.reportReceived(report));
            assertFalse(other.isLimited(upstream));
            assertEquals(Optional.of(ended.limit()), other.report("w").map(LimitReport::limit));
        }
    }

    /** Told round in a circle, it must not seem new each time: its end would not be believed. */
    @Example
    void repeatedReportsDoNotAppearNewer() {
        UpstreamLimits other = new UpstreamLimits(() -> now, any -> new SendSlotOrder(0, 1));
        answered(0, LimitNotice.of(0.5), 10);
        for (int i = 0; i < 50; i++) {
            now += 90;
            other.reportReceived(delayed(limits.report("w").orElseThrow()));
            limits.reportReceived(delayed(other.report("w").orElseThrow()));
        }
        LimitReport known = limits.report("w").orElseThrow();
        assertEquals(START_MILLIS, known.receivedMillis());
        assertEquals(START_MILLIS - 10, known.usedMillis());
    }

    /** Returns a report as it seems after a way that its ages do not tell of. */
    private static LimitReport delayed(LimitReport report) {
        return new LimitReport(
                report.upstream(),
                report.startedMillis(),
                report.limit(),
                report.sentMillis() + 90,
                report.receivedMillis() + 90,
                report.usedMillis());
    }

    /** A process whose clock was wrong told of it. */
    @Example
    void useInTheFutureIsIgnored() {
        answered(0, LimitNotice.of(0.5), 10);
        limits.reportReceived(new LimitReport("w", 5, LimitNotice.of(0.5), now, now, now + 3_600_000));
        assertTrue(limits.waitMillis(upstream) <= 3_000, limits.waitMillis(upstream) + " ms");
    }

    @Example
    void removedUpstreamsAreEvicted() {
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.changed(upstream);
        answered(0, ONE, 10);
        now += 100_000;
        limits.evictOutdated(directory, now);
        assertTrue(limits.isLimited(upstream), "nobody asks it, so nobody knows that it ended");
        directory.removed("w");
        limits.evictOutdated(directory, now);
        assertTrue(limits.isEmpty());
    }
}
