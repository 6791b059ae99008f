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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * A store that comes back from copies, again and again, beside lost calls, pauses and losses of all
 * entries at once: the platform never accepts the calls of two leaders turn about, no token is used
 * by two, and calls are accepted again. Faults and time are drawn from the seed.
 */
class LeaderElectionRestoredStoreProperties {
    private static final long TTL = 3_000;
    private static final int ENTRIES = 5;
    private static final long STEP_MILLIS = 50;
    private static final long LENGTH_MILLIS = 120_000;
    private static final long CALL_MILLIS = 200;

    /** Within which time every entry hears of a change from its peers. */
    private static final long EPOCH_REPORT_MILLIS = 1_000;

    private static final long DIGEST_MILLIS = 200;
    private static final long FIRST_RAISE = 1_000;

    /** The leader's key; lease 0 if there is none. */
    private record Key(String holder, long createdRevision, long revision, long lease, long knownToken) {
        static final Key NONE = new Key("", 0, 0, 0, 0);

        long token() {
            return lease == 0 ? 0 : Math.max(createdRevision, knownToken + 1);
        }
    }

    /** The store and the platform that checks tokens. */
    private static final class Store {
        Map<Long, Long> leaseEnds = new HashMap<>();
        Key key = Key.NONE;
        long revision = 10;
        long leases;
        long epoch = 1;
        long replacedMillis;
        private Map<Long, Long> copiedEnds = new HashMap<>();
        private Key copiedKey = Key.NONE;
        private long copiedRevision = 10;
        private long copiedLeases;
        private long highest;
        final List<String> accepted = new ArrayList<>();
        final List<Long> acceptedMillis = new ArrayList<>();
        final Map<Long, String> holders = new HashMap<>();

        void copy() {
            copiedEnds = new HashMap<>(leaseEnds);
            copiedKey = key;
            copiedRevision = revision;
            copiedLeases = leases;
        }

        void restore(long now) {
            leaseEnds = new HashMap<>(copiedEnds);
            key = copiedKey;
            revision = copiedRevision;
            leases = copiedLeases;
            epoch++;
            replacedMillis = now;
            expire(now);
        }

        void expire(long now) {
            leaseEnds.values().removeIf(end -> end <= now);
            if (key.lease() != 0 && !leaseEnds.containsKey(key.lease())) {
                key = Key.NONE;
                revision++;
            }
        }

        boolean claim(String holder, long lease, long expected, long above) {
            long present = key.lease() == 0 ? 0 : key.revision();
            if (present != expected || !leaseEnds.containsKey(lease)) {
                return false;
            }
            revision++;
            long made = key.lease() == 0 ? revision : key.createdRevision();
            key = new Key(holder, made, revision, lease, above);
            return true;
        }

        boolean call(String holder, long token, long now) {
            String before = holders.putIfAbsent(token, holder);
            assertTrue(before == null || before.equals(holder), token + " used by two");
            if (token < highest) {
                return false;
            }
            highest = token;
            accepted.add(holder);
            acceptedMillis.add(now);
            return true;
        }

        /** No two holders' calls may be accepted in turns within a lease. */
        void assertNoAlternation() {
            for (int i = 2; i < accepted.size(); i++) {
                String last = accepted.get(i);
                for (int j = i - 1; j > 0; j--) {
                    boolean within = acceptedMillis.get(i) - acceptedMillis.get(j - 1) <= TTL;
                    boolean turn =
                            !accepted.get(j).equals(last) && accepted.get(j - 1).equals(last);
                    assertTrue(!(within && turn), "turns at " + acceptedMillis.get(i));
                    if (!within) {
                        break;
                    }
                }
            }
        }
    }

    /** One entry: a life of its election and what it knows of the store's epoch. */
    private static final class Entry {
        final String name;
        final Random random;
        LeaderElection election;
        long epoch;
        long pausedUntil;
        long calledMillis;
        int raiseCount;

        Entry(String name, Random random) {
            this.name = name;
            this.random = random;
            start(-TTL, 1);
        }

        /** Starts anew; the first calls to the store tell its epoch. */
        void start(long now, long named) {
            election = new LeaderElection(TTL, 100 + random.nextInt(500), 2 * TTL);
            election.started(now);
            election.epoch(named);
            epoch = named;
            raiseCount = 0;
        }

        /** Learns the epoch; returns false if it is another one than before. */
        boolean observeEpoch(long named, long now) {
            if (epoch == named) {
                return true;
            }
            boolean first = epoch == 0;
            epoch = named;
            election.epoch(named);
            if (!first) {
                election.historyReplaced(now);
            }
            return first;
        }

        void act(Store store, long now, double lost) {
            boolean told = now - store.replacedMillis >= EPOCH_REPORT_MILLIS;
            if (told && !observeEpoch(store.epoch, now)) {
                return;
            }
            if (epoch == store.epoch || epoch == 0) {
                watch(store, now);
            }
            Step step = election.next(now);
            boolean requestLost = random.nextDouble() < lost;
            boolean answerLost = random.nextDouble() < lost;
            if (step != Step.NONE) {
                request(step, store, now, requestLost, answerLost);
            }
            if (election.leads(now) && now - calledMillis >= CALL_MILLIS) {
                calledMillis = now;
                call(store, now);
            }
        }

        private void watch(Store store, long now) {
            if (store.key.lease() == 0) {
                election.keyRemoved(now);
            } else {
                election.keySeen(store.key.token());
            }
        }

        private void request(
                Step step, Store store, long now, boolean requestLost, boolean answerLost) {
            boolean done = !requestLost && perform(step, store, now);
            boolean counts = !requestLost && !answerLost && observeEpoch(store.epoch, now);
            switch (step) {
                case GRANT -> {
                    if (counts) {
                        election.granted(store.leases);
                    } else {
                        election.notClaimed(now);
                    }
                }
                case CLAIM -> {
                    if (counts && done) {
                        election.claimed(store.key.createdRevision());
                        raiseCount = 0;
                    } else {
                        election.notClaimed(now);
                    }
                }
                case RENEW -> {
                    if (counts && done) {
                        election.renewed(now);
                    } else if (counts) {
                        election.leadershipLost(now);
                    }
                }
                case CONFIRM -> confirm(store, now, counts);
                default -> {}
            }
        }

        private boolean perform(Step step, Store store, long now) {
            return switch (step) {
                case GRANT -> {
                    store.leaseEnds.put(++store.leases, now + TTL);
                    yield true;
                }
                case CLAIM ->
                        store.claim(
                                name,
                                election.lease(),
                                election.claimedRevision(),
                                election.highestToken());
                case RENEW -> store.leaseEnds.replace(election.lease(), now + TTL) != null;
                default -> true;
            };
        }

        private void confirm(Store store, long now, boolean counts) {
            if (!counts) {
                election.notConfirmed(now);
            } else if (store.key.holder().equals(name)
                    && store.leaseEnds.replace(election.lease(), now + TTL) != null) {
                election.confirmed(now);
            } else {
                long standing = store.key.lease() == 0 ? 0 : store.key.revision();
                election.displaced(standing, store.key.token(), now);
            }
        }

        private void call(Store store, long now) {
            if (store.call(name, election.token(), now)) {
                return;
            }
            if (store.key.holder().equals(name) && observeEpoch(store.epoch, now)) {
                long step = FIRST_RAISE << Math.min(10, raiseCount++);
                election.raiseToken(election.token() + step + random.nextLong(step));
            } else {
                election.leadershipLost(now);
            }
        }
    }

    private static List<Entry> entries(Random random) {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry("e" + i, new Random(random.nextLong())));
        }
        return entries;
    }

    private static void run(
            Store store, List<Entry> entries, long fromMillis, long untilMillis, double lost) {
        for (long now = fromMillis; now < untilMillis; now += STEP_MILLIS) {
            store.expire(now);
            for (Entry entry : entries) {
                if (now >= entry.pausedUntil) {
                    entry.act(store, now, lost);
                }
            }
            if (now % DIGEST_MILLIS == 0) {
                exchangeTokens(entries, now);
            }
        }
    }

    private static void exchangeTokens(List<Entry> entries, long now) {
        long highest = 0;
        for (Entry entry : entries) {
            if (now >= entry.pausedUntil) {
                highest = Math.max(highest, entry.election.highestToken());
            }
        }
        for (Entry entry : entries) {
            if (now >= entry.pausedUntil) {
                entry.election.tokenSeen(highest);
            }
        }
    }

    @Property(tries = 300)
    void leadersNeverAlternateAndNeverShareAToken(@ForAll long seed) {
        Random random = new Random(seed);
        Store store = new Store();
        List<Entry> entries = entries(random);
        for (long now = 0; now < LENGTH_MILLIS; now += STEP_MILLIS) {
            if (random.nextInt(60) == 0) {
                store.copy();
            }
            if (random.nextInt(200) == 0) {
                store.restore(now);
            }
            if (random.nextInt(20) == 0) {
                store.revision += random.nextInt(60);
            }
            if (random.nextInt(150) == 0) {
                entries.get(random.nextInt(ENTRIES)).pausedUntil = now + random.nextInt(5_000);
            }
            if (random.nextInt(300) == 0) {
                entries.get(random.nextInt(ENTRIES)).start(now, store.epoch);
            }
            run(store, entries, now, now + STEP_MILLIS, 0.05);
        }
        int before = store.accepted.size();
        run(store, entries, LENGTH_MILLIS, LENGTH_MILLIS + 8 * TTL, 0);
        assertTrue(store.accepted.size() > before, "no call is accepted at the end");
        store.assertNoAlternation();
    }

    @Example
    void runningLeaderIsAcceptedAgainWithinALease() {
        Random random = new Random(1);
        Store store = new Store();
        List<Entry> entries = entries(random);
        store.copy();
        run(store, entries, 0, 5_000, 0);
        assertTrue(!store.accepted.isEmpty(), "somebody leads");
        String leader = store.accepted.get(store.accepted.size() - 1);
        store.restore(5_000);
        int before = store.accepted.size();
        run(store, entries, 5_000, 5_000 + TTL, 0);
        assertTrue(store.accepted.size() > before, "calls within a lease");
        assertEquals(leader, store.accepted.get(before), "the same leads on");
    }

    @Example
    void afterTheLossOfAllEntriesAndOfTheTokensCallsAreAcceptedAgain() {
        Random random = new Random(2);
        Store store = new Store();
        List<Entry> entries = entries(random);
        store.copy();
        store.revision += 5_000;
        run(store, entries, 0, 5_000, 0);
        store.restore(5_000);
        entries.forEach(entry -> entry.start(5_000, store.epoch));
        int before = store.accepted.size();
        run(store, entries, 5_000, 5_000 + 2 * TTL, 0);
        assertTrue(store.accepted.size() > before, "calls are accepted");
        store.assertNoAlternation();
    }
}
