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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Many harmless requests beside one that ends every upstream it runs at, over several processes.
 */
class CrashLedgerProperties {
    private static final RequestTrait BAD = new RequestTrait(-1);
    private static final int PROCESSES = 4;
    private static final int UPSTREAMS = 6;
    private static final int OTHERS = 60;

    private final List<CrashLedger> ledgers = new ArrayList<>();
    private final Set<Integer> wronglyRefused = new HashSet<>();
    private long now;
    private long nextIncarnation;
    private Random random;
    private int endsUnderBad;

    private void begin(long seed) {
        random = new Random(seed);
        ledgers.clear();
        wronglyRefused.clear();
        endsUnderBad = 0;
        now = 1_000_000;
        for (int i = 0; i < PROCESSES; i++) {
            ledgers.add(new CrashLedger());
        }
        nextIncarnation = UPSTREAMS;
    }

    private CrashLedger randomLedger() {
        return ledgers.get(random.nextInt(PROCESSES));
    }

    /** All processes send all reports to each other, in random order and each twice. */
    private void exchangeReports() {
        List<int[]> paths = new ArrayList<>();
        for (int from = 0; from < PROCESSES; from++) {
            for (int to = 0; to < PROCESSES; to++) {
                paths.add(new int[] {from, to});
                paths.add(new int[] {from, to});
            }
        }
        Collections.shuffle(paths, random);
        for (int[] path : paths) {
            if (path[0] != path[1]) {
                CrashLedger to = ledgers.get(path[1]);
                ledgers.get(path[0])
                        .changedSince(0, source -> true)
                        .forEach(report -> to.received("p" + path[0], report, now));
            }
        }
    }

    /**
     * Sends the bad request once: one upstream ends, with some other requests in progress there.
     */
    private void sendBadRequest(int concurrent) {
        CrashLedger process = randomLedger();
        if (process.verdict(BAD, now) == CrashVerdict.REFUSED) {
            return;
        }
        endsUnderBad++;
        long upstream = nextIncarnation++;
        process.ended(BAD, upstream, now - random.nextLong(100, 200), now);
        for (int i = 0; i < concurrent; i++) {
            int other = random.nextInt(OTHERS);
            CrashLedger at = randomLedger();
            if (at.verdict(new RequestTrait(other), now) == CrashVerdict.REFUSED) {
                wronglyRefused.add(other);
            } else {
                long ran = random.nextLong(50, 2_050);
                at.ended(new RequestTrait(other), upstream, now - ran, now);
            }
        }
    }

    @Property(tries = 100, seed = "20261203")
    void badRequestEndsAtMostFourUpstreams(@ForAll long seed) {
        begin(seed);
        for (int i = 0; i < 30; i++) {
            sendBadRequest(random.nextInt(30));
            exchangeReports();
            now += 500;
        }
        assertTrue(
                endsUnderBad <= CrashLedger.UNCONDITIONAL_REFUSAL_MIN_ENDS,
                endsUnderBad + " ended");
        for (CrashLedger ledger : ledgers) {
            assertEquals(CrashVerdict.REFUSED, ledger.verdict(BAD, now));
        }
    }

    @Property(tries = 100, seed = "20261203")
    void concurrentRequestsAreServedOnceReportsAreExchanged(@ForAll long seed) {
        begin(seed);
        for (int i = 0; i < 30; i++) {
            sendBadRequest(random.nextInt(30));
            exchangeReports();
            now += 500;
        }
        for (int other = 0; other < OTHERS; other++) {
            for (CrashLedger ledger : ledgers) {
                CrashVerdict verdict = ledger.verdict(new RequestTrait(other), now);
                assertEquals(CrashVerdict.SERVED, verdict, "request " + other);
            }
        }
    }

    @Property(tries = 200, seed = "20261203")
    void orderAndRepeatsOfReportsDoNotMatter(@ForAll long seed) {
        begin(seed);
        for (int i = 0; i < 40; i++) {
            RequestTrait request = new RequestTrait(random.nextInt(4));
            if (random.nextInt(6) == 0) {
                randomLedger().cleared(request, now);
            } else {
                randomLedger().ended(request, random.nextInt(6), now - 10, now);
            }
            now += 1;
        }
        exchangeReports();
        exchangeReports();
        for (int request = 0; request < 4; request++) {
            RequestTrait one = new RequestTrait(request);
            int ends = ledgers.get(0).countedEnds(one).size();
            for (CrashLedger ledger : ledgers) {
                assertEquals(ends, ledger.countedEnds(one).size(), "ends of " + request);
            }
        }
    }
}
