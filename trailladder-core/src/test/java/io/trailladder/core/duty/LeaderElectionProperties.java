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
package io.trailladder.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.duty.LeaderElection.Step;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * No two entries lead at the same time and every later leader has a higher token, whatever calls
 * are lost, late or refused, and however long an entry is paused. Faults and time are drawn from
 * the seed.
 */
class LeaderElectionProperties {
    private static final long TTL = 3_000;
    private static final int ENTRIES = 4;
    private static final int STEPS = 4_000;
    private static final long STEP_MILLIS = 50;

    /** The store's side: one key under one lease, and a revision that only grows. */
    private static final class Store {
        final List<Long> leaseEnds = new ArrayList<>();
        long revision = 10;
        long keyLease = -1;
        long keyCreatedRevision;

        long grant(long now) {
            leaseEnds.add(now + TTL);
            return leaseEnds.size() - 1L;
        }

        void expire(long now) {
            if (keyLease >= 0 && leaseEnds.get((int) keyLease) <= now) {
                keyLease = -1;
                revision++;
            }
        }

        boolean claim(long lease, long now) {
            if (keyLease >= 0 || leaseEnds.get((int) lease) <= now) {
                return false;
            }
            keyLease = lease;
            keyCreatedRevision = ++revision;
            return true;
        }

        boolean renew(long lease, long now) {
            if (leaseEnds.get((int) lease) <= now) {
                return false;
            }
            leaseEnds.set((int) lease, now + TTL);
            return true;
        }
    }

    private static void act(
            LeaderElection entry, Store store, Random random, long now, double lost) {
        Step step = entry.next(now);
        boolean requestLost = random.nextDouble() < lost;
        boolean answerLost = random.nextDouble() < lost;
        if (step == Step.GRANT) {
            long lease = requestLost ? -1 : store.grant(now);
            if (lease < 0 || answerLost) {
                entry.notClaimed(now);
            } else {
                entry.granted(lease);
            }
        } else if (step == Step.CLAIM) {
            boolean done = !requestLost && store.claim(entry.lease(), now);
            if (done && !answerLost) {
                entry.claimed(store.keyCreatedRevision);
            } else {
                entry.notClaimed(now);
            }
        } else if (step == Step.RENEW && !requestLost) {
            boolean done = store.renew(entry.lease(), now);
            if (!done) {
                entry.leadershipLost(now);
            } else if (!answerLost) {
                entry.renewed(now);
            }
        }
    }

    @Property(tries = 200)
    void atMostOneLeadsAndTokensRise(@ForAll long seed) {
        Random random = new Random(seed);
        Store store = new Store();
        List<LeaderElection> entries = new ArrayList<>();
        long[] pausedUntil = new long[ENTRIES];
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new LeaderElection(TTL, random.nextInt(500), 2 * TTL));
        }
        long highest = 0;
        int elections = 0;
        for (long now = 0; now < STEPS * STEP_MILLIS; now += STEP_MILLIS) {
            store.expire(now);
            int leaders = 0;
            for (int i = 0; i < ENTRIES; i++) {
                if (random.nextInt(400) == 0) {
                    pausedUntil[i] = now + random.nextInt(8_000);
                }
                LeaderElection entry = entries.get(i);
                leaders += entry.leads(now) ? 1 : 0;
                if (now < pausedUntil[i]) {
                    continue;
                }
                if (store.keyLease < 0) {
                    entry.keyRemoved(now);
                } else {
                    entry.keySeen(store.keyCreatedRevision);
                }
                act(entry, store, random, now, 0.1);
                if (entry.leads(now) && entry.token() != highest) {
                    assertTrue(entry.token() > highest, "token went back");
                    highest = entry.token();
                    elections++;
                }
            }
            assertTrue(leaders <= 1, leaders + " lead at " + now);
        }
        assertTrue(elections > 0, "nobody ever led");
    }

    @Example
    void stoppingLeaderGivesItsLeaseUp() {
        LeaderElection entry = new LeaderElection(TTL, 0, TTL);
        entry.keyRemoved(0);
        assertEquals(Step.GRANT, entry.next(0));
        entry.granted(7);
        assertEquals(Step.CLAIM, entry.next(1));
        entry.claimed(20);
        assertTrue(entry.leads(2));
        entry.stop();
        assertEquals(Step.END, entry.next(3));
        assertEquals(Step.NONE, entry.next(4));
        assertTrue(!entry.leads(4));
    }

    @Example
    void unansweredClaimNeverMakesALeader() {
        LeaderElection entry = new LeaderElection(TTL, 0, TTL);
        entry.keyRemoved(0);
        entry.next(0);
        entry.granted(7);
        entry.next(1);
        entry.notClaimed(2);
        entry.claimed(20);
        assertTrue(!entry.leads(3));
    }
}
