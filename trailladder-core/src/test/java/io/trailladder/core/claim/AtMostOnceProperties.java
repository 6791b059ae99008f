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
package io.trailladder.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.claim.ClaimAction.AllKept;
import io.trailladder.core.claim.ClaimAction.Answer;
import io.trailladder.core.claim.ClaimAction.CopyAnswer;
import io.trailladder.core.claim.ClaimAction.CopyClaim;
import io.trailladder.core.claim.ClaimAction.Propose;
import io.trailladder.core.claim.ClaimAction.SendAll;
import io.trailladder.core.claim.ClaimReply.Verdict;
import io.trailladder.core.claim.RangePlanner.Member;
import io.trailladder.core.claim.RangePlanner.View;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * A key is granted at most once, whatever entries are killed, frozen and woken, and whatever
 * messages and proposals are late or lost. Message order, faults and time are drawn from the seed.
 */
class AtMostOnceProperties {
    private static final long RETENTION = 1_000_000;
    private static final int KEYS = 6;
    private static final int RANGES = 2;

    /** Entries, the platform's map, and the messages between them. */
    private static final class Cluster {
        final Random random;
        final Map<String, ClaimRegistry> entries = new HashMap<>();
        final Set<String> frozen = new HashSet<>();
        final List<Runnable> network = new ArrayList<>();
        final Map<ClaimKey, Integer> grants = new HashMap<>();
        RangeMap platform = RangeMap.fresh(RANGES);
        int requests;
        long now = 1;

        Cluster(long seed, int count) {
            random = new Random(seed);
            for (int i = 0; i < count; i++) {
                entries.put("e" + i, new ClaimRegistry("e" + i, RANGES, 10_000, RETENTION));
            }
        }

        String any() {
            List<String> names = entries.keySet().stream().sorted().toList();
            return names.get(random.nextInt(names.size()));
        }

        void deliver(String to, Runnable message) {
            network.add(
                    new Runnable() {
                        @Override
                        public void run() {
                            if (frozen.contains(to)) {
                                network.add(this);
                            } else if (entries.containsKey(to)) {
                                message.run();
                            }
                        }
                    });
        }

        void perform(String from, List<ClaimAction> actions) {
            actions.forEach(action -> perform(from, action));
        }

        private void perform(String from, ClaimAction action) {
            if (action instanceof Answer answer) {
                if (answer.reply().verdict() == Verdict.GRANTED) {
                    grants.merge(keyOf(answer.requestId()), 1, Integer::sum);
                }
            } else if (action instanceof CopyClaim copy) {
                deliver(
                        copy.backup(),
                        () ->
                                perform(
                                        copy.backup(),
                                        entries.get(copy.backup())
                                                .copyClaim(
                                                        from,
                                                        copy.range(),
                                                        copy.epoch(),
                                                        copy.claim())));
            } else if (action instanceof CopyAnswer copied) {
                deliver(
                        copied.owner(),
                        () ->
                                perform(
                                        copied.owner(),
                                        entries.get(copied.owner()).copyAnswered(copied)));
            } else if (action instanceof SendAll all) {
                deliver(
                        all.backup(),
                        () ->
                                perform(
                                        all.backup(),
                                        entries.get(all.backup())
                                                .receiveAll(
                                                        from,
                                                        all.range(),
                                                        all.epoch(),
                                                        all.claims())));
            } else if (action instanceof AllKept kept) {
                deliver(
                        kept.owner(),
                        () -> entries.get(kept.owner()).allKept(kept.range(), kept.epoch()));
            }
        }

        ClaimKey keyOf(String requestId) {
            return key(Integer.parseInt(requestId.substring(requestId.indexOf('/') + 1)));
        }

        void requestClaim(int key) {
            String holder = any();
            String owner = entries.get(holder).map().get(key(key).range(RANGES)).owner();
            String requestId = "r" + requests++ + "/" + key;
            Claim claim = new Claim(key(key), 7, holder, requestId, now + RETENTION);
            deliver(owner, () -> perform(owner, entries.get(owner).request(claim, now)));
        }

        void plan(String name) {
            if (frozen.contains(name)) {
                return;
            }
            ClaimRegistry registry = entries.get(name);
            List<Member> live = new ArrayList<>();
            for (String other : entries.keySet()) {
                boolean believedLive = !frozen.contains(other) && random.nextInt(20) > 0;
                if (other.equals(name) || believedLive) {
                    live.add(new Member(other, "baires-a"));
                }
            }
            View view = new View(live, Set.copyOf(entries.keySet()));
            new RangePlanner(name, registry, RETENTION)
                    .plan(view, now)
                    .ifPresent(proposal -> propose(name, proposal));
        }

        private void propose(String name, Propose proposal) {
            entries.get(name).seal(proposal);
            deliver(
                    name,
                    () -> {
                        if (platform.equals(proposal.expected())) {
                            platform = platform.with(proposal.changes());
                        }
                        if (random.nextInt(4) > 0) {
                            readMap(name);
                        }
                    });
        }

        void readMap(String name) {
            if (!frozen.contains(name)) {
                perform(name, entries.get(name).updateMap(platform, now));
            }
        }

        void step() {
            now++;
            switch (random.nextInt(16)) {
                case 0 -> plan(any());
                case 1 -> readMap(any());
                case 2, 3 -> requestClaim(random.nextInt(KEYS));
                case 4 -> {
                    if (random.nextInt(6) == 0) {
                        frozen.add(any());
                    }
                }
                case 5 -> frozen.remove(any());
                case 6 -> perform(any(), List.of());
                default -> deliverOne();
            }
            if (random.nextInt(40) == 0) {
                entries.forEach(
                        (name, registry) -> {
                            if (!frozen.contains(name)) {
                                perform(name, registry.sendMissingCopies());
                            }
                        });
            }
            if (entries.size() > 2 && random.nextInt(150) == 0) {
                String killed = any();
                entries.remove(killed);
                frozen.remove(killed);
            }
        }

        private void deliverOne() {
            if (network.isEmpty()) {
                return;
            }
            Runnable message = network.remove(random.nextInt(network.size()));
            if (random.nextInt(12) > 0) {
                message.run();
            }
        }
    }

    private static ClaimKey key(int number) {
        return ClaimKey.of("banco-sur", "key-" + number);
    }

    @Property(tries = 400, seed = "20261202")
    void keyIsGrantedAtMostOnceUnderKillsFreezesAndLostMessages(@ForAll long seed) {
        Cluster cluster = new Cluster(seed, 4);
        for (int i = 0; i < 1500; i++) {
            cluster.step();
        }
        cluster.grants.forEach(
                (key, count) -> assertEquals(1, count, "grants of one key, cluster seed " + seed));
    }

    @Example
    void healthyClusterGrantsEveryKeyOnceAndThenNamesTheFirstRequest() {
        Cluster cluster = new Cluster(1, 3);
        for (int round = 0; round < 30; round++) {
            cluster.now++;
            for (String name : cluster.entries.keySet().stream().sorted().toList()) {
                cluster.readMap(name);
                View view =
                        new View(
                                List.of(
                                        new Member("e0", "a"),
                                        new Member("e1", "a"),
                                        new Member("e2", "a")),
                                Set.of());
                ClaimRegistry registry = cluster.entries.get(name);
                new RangePlanner(name, registry, RETENTION)
                        .plan(view, cluster.now)
                        .ifPresent(p -> cluster.platform = cluster.platform.with(p.changes()));
                cluster.readMap(name);
                drain(cluster);
            }
        }
        for (int key = 0; key < KEYS; key++) {
            cluster.requestClaim(key);
            cluster.requestClaim(key);
            drain(cluster);
        }
        assertEquals(KEYS, cluster.grants.size());
        assertTrue(cluster.grants.values().stream().allMatch(count -> count == 1));
    }

    private static void drain(Cluster cluster) {
        while (!cluster.network.isEmpty()) {
            cluster.network.remove(0).run();
        }
    }
}
