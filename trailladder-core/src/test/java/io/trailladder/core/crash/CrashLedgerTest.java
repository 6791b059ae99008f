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
package io.trailladder.core.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/** Which requests a process refuses after upstreams ended under them. */
class CrashLedgerTest {
    private static final RequestTrait BAD = new RequestTrait(1);
    private static final RequestTrait OTHER = new RequestTrait(2);

    private final CrashLedger ledger = new CrashLedger();
    private long now = 1_000_000;

    private void end(RequestTrait request, long upstream, long ranMillis) {
        ledger.ended(request, upstream, now - ranMillis, now);
    }

    private void assertVerdict(CrashVerdict expected, RequestTrait request) {
        assertEquals(expected, ledger.verdict(request, now));
    }

    private void endThree(RequestTrait request, long ranMillis) {
        for (int upstream = 1; upstream <= 3; upstream++) {
            end(request, upstream, ranMillis);
            now += 200;
        }
    }

    @Example
    void requestIsRefusedAfterThreeEnds() {
        end(BAD, 1, 100);
        end(BAD, 2, 100);
        assertVerdict(CrashVerdict.SERVED, BAD);
        end(BAD, 3, 100);
        assertVerdict(CrashVerdict.REFUSED, BAD);
        assertVerdict(CrashVerdict.SERVED, OTHER);
    }

    @Example
    void endIsCountedOnceForSeveralAttempts() {
        for (int i = 0; i < 5; i++) {
            end(BAD, 1, 100);
        }
        assertVerdict(CrashVerdict.SERVED, BAD);
    }

    @Example
    void restartedUpstreamWithUnchangedIncarnationCountsAgain() {
        for (int i = 0; i < 3; i++) {
            end(BAD, 1, 100);
            now += 500;
        }
        assertVerdict(CrashVerdict.REFUSED, BAD);
    }

    @Example
    void incarnationsOfAnUpstreamDiffer() {
        assertFalse(UpstreamEnd.incarnationOf("w", 0) == UpstreamEnd.incarnationOf("w", 1));
        assertFalse(UpstreamEnd.incarnationOf("w", 0) == UpstreamEnd.incarnationOf("v", 0));
    }

    @Example
    void completeRunClearsEarlierEnds() {
        endThree(BAD, 100);
        assertTrue(ledger.cleared(BAD, now));
        assertVerdict(CrashVerdict.SERVED, BAD);
        now += 100;
        end(BAD, 4, 50);
        end(BAD, 5, 50);
        assertVerdict(CrashVerdict.SERVED, BAD);
        end(BAD, 6, 50);
        assertVerdict(CrashVerdict.REFUSED, BAD);
    }

    @Example
    void peerReportDoesNotRestoreClearedEnds() {
        endThree(BAD, 100);
        List<CrashReport> reports = ledger.suspected();
        ledger.cleared(BAD, now);
        now += 50;
        for (CrashReport report : reports) {
            List<UpstreamEnd> later =
                    report.ends().stream()
                            .map(
                                    e ->
                                            new UpstreamEnd(
                                                    e.incarnation(),
                                                    e.earlierEnds(),
                                                    now,
                                                    e.ranMillis()))
                            .toList();
            ledger.received("p", new CrashReport(BAD, CrashReport.NEVER, later), now);
        }
        assertVerdict(CrashVerdict.SERVED, BAD);
    }

    @Example
    void upstreamsThatAreStillListedDidNotEnd() {
        endThree(BAD, 100);
        now += CrashLedger.MAX_LISTED_MILLIS;
        ledger.cleanUp(Set.of(1L), 0, now);
        assertVerdict(CrashVerdict.SERVED, BAD);
    }

    @Example
    void listThatWasNotValidLongEnoughDismissesNothing() {
        endThree(BAD, 100);
        now += CrashLedger.MAX_LISTED_MILLIS;
        ledger.cleanUp(Set.of(1L, 2L, 3L), now - CrashLedger.MAX_LISTED_MILLIS + 1, now);
        assertVerdict(CrashVerdict.REFUSED, BAD);
    }

    @Example
    void requestExplainedByALikelierOneIsServed() {
        end(OTHER, 9, 100);
        endThree(BAD, 100);
        for (int upstream = 1; upstream <= 3; upstream++) {
            ledger.ended(OTHER, upstream, now - 900, now);
        }
        assertVerdict(CrashVerdict.REFUSED, OTHER);
        assertVerdict(CrashVerdict.SERVED, BAD);
    }

    @Example
    void ofTwoWithEqualEndsTheShorterRunningOneIsRefused() {
        endThree(BAD, 100);
        for (int upstream = 1; upstream <= 3; upstream++) {
            ledger.ended(OTHER, upstream, now - 900, now);
        }
        assertVerdict(CrashVerdict.REFUSED, BAD);
        assertVerdict(CrashVerdict.SERVED, OTHER);
    }

    @Example
    void nextEndCorrectsAWrongAttribution() {
        endThree(OTHER, 50);
        for (int upstream = 1; upstream <= 3; upstream++) {
            ledger.ended(BAD, upstream, now - 900, now);
        }
        assertVerdict(CrashVerdict.SERVED, BAD);
        end(BAD, 4, 900);
        assertVerdict(CrashVerdict.REFUSED, BAD);
        assertVerdict(CrashVerdict.SERVED, OTHER);
    }

    @Example
    void requestIsRefusedAfterFourEndsDespiteALikelierOne() {
        for (int upstream = 1; upstream <= 5; upstream++) {
            end(OTHER, upstream, 10);
            if (upstream <= 4) {
                end(BAD, upstream, 1_000);
            }
        }
        assertVerdict(CrashVerdict.REFUSED, BAD);
    }

    @Example
    void refusedRequestIsRetriedOnceAfterTheDelay() {
        endThree(BAD, 100);
        now += CrashLedger.RETRY_DELAY_MILLIS;
        assertVerdict(CrashVerdict.TRIED_AGAIN, BAD);
        ledger.retried(BAD);
        assertVerdict(CrashVerdict.REFUSED, BAD);
    }

    @Example
    void processThatOnlyReceivedReportsDoesNotRetry() {
        endThree(BAD, 100);
        CrashLedger peer = new CrashLedger();
        ledger.suspected().forEach(report -> peer.received("p", report, now));
        now += CrashLedger.RETRY_DELAY_MILLIS;
        assertEquals(CrashVerdict.REFUSED, peer.verdict(BAD, now));
    }

    @Example
    void numberOfRememberedRequestsIsBounded() {
        endThree(BAD, 100);
        for (int i = 0; i < 3 * CrashLedger.MAX_REQUESTS; i++) {
            end(new RequestTrait(100 + i), 7_000 + i, 10);
        }
        assertEquals(CrashLedger.MAX_REQUESTS, ledger.size());
        assertVerdict(CrashVerdict.REFUSED, BAD);
    }

    @Example
    void oldRequestsAreRemoved() {
        end(OTHER, 1, 100);
        endThree(BAD, 100);
        now += CrashLedger.RETENTION_MILLIS + 1;
        ledger.cleanUp(Set.of(), now, now);
        assertEquals(1, ledger.size());
        assertTrue(ledger.hasSuspects());
        now += CrashLedger.REFUSED_RETENTION_MILLIS + 1;
        ledger.cleanUp(Set.of(), now, now);
        assertEquals(0, ledger.size());
        assertFalse(ledger.hasSuspects());
    }

    @Example
    void fingerprintDependsOnCallerTargetAndBody() {
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        RequestTrait one = RequestTrait.whole("k", "POST", "h/x", body);
        assertEquals(one, RequestTrait.whole("k", "POST", "h/x", body.clone()));
        assertFalse(one.equals(RequestTrait.whole("l", "POST", "h/x", body)));
        assertFalse(one.equals(RequestTrait.whole("k", "POST", "h/y", body)));
        assertFalse(one.equals(RequestTrait.whole("k", "POST", "h/x", new byte[0])));
    }

    /**
     * Guards against counting broken connections as ends: an upstream that is observed running
     * later has not ended.
     */
    @Example
    void endsOfAnUpstreamObservedAliveLaterDoNotCount() {
        endThree(BAD, 100);
        assertVerdict(CrashVerdict.REFUSED, BAD);
        ledger.observedAlive(2, now);
        assertVerdict(CrashVerdict.SERVED, BAD);
        end(BAD, 2, 100);
        assertVerdict(CrashVerdict.REFUSED, BAD);
        ledger.observedAlive(2, now - 150);
        assertVerdict(CrashVerdict.REFUSED, BAD);
    }
}
