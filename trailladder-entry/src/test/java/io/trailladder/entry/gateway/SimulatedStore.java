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
package io.trailladder.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.trailladder.entry.port.StoreItem;
import io.trailladder.wire.NodeMessage.UpstreamEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The platform's store as the processes of a {@link SimulatedCluster} see it: those that follow it
 * list the upstreams and watch them, all others call it now and then. It can come back from a copy,
 * and watches can wait on unheard.
 */
final class SimulatedStore {
    private static final long LOST_REVISIONS = 400;
    private static final long HUB_CALL_INTERVAL_MILLIS = 900;
    private static final long LEAF_CALL_INTERVAL_MILLIS = 3_000;
    private static final long ANSWER_DELAY_MILLIS = 40;
    private static final int UPSTREAMS = 5;

    private final SimulatedCluster cluster;
    private final TreeMap<String, StoreItem> items = new TreeMap<>();
    private final Map<String, Follower> followers = new HashMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private TreeMap<String, StoreItem> savedItems = new TreeMap<>();
    private long copiedRevision;
    private long revision = 10;
    private long epoch;
    private int listCalls;

    /** What a process that follows the store has asked it. */
    private static final class Follower {
        private long epoch;
        private long revision;
        private long listDueMillis = -1;
        private boolean watching;
        private boolean stalled;
    }

    /**
     * Creates a store with some upstreams.
     *
     * @param epoch the epoch that it names; 0 for none
     */
    SimulatedStore(SimulatedCluster cluster, long epoch) {
        this.cluster = cluster;
        this.epoch = epoch;
        cluster.onStep(this::serve);
        for (String name : cluster.names()) {
            cluster.process(name).view().onMissedChange(() -> restartWatch(name));
        }
        for (int i = 0; i < UPSTREAMS; i++) {
            put("u" + i);
        }
    }

    long epoch() {
        return epoch;
    }

    /** Returns how often it was asked for all upstreams. */
    int listCalls() {
        return listCalls;
    }

    /** Has no call of some processes reach it. */
    void cutOff(List<String> names) {
        names.forEach(name -> cluster.setStoreReachable(name, false));
        cutOff.addAll(names);
    }

    /** Has a process's watch wait on unheard. */
    void stallWatch(String name) {
        followers.get(name).stalled = true;
    }

    private void restartWatch(String name) {
        followers.get(name).watching = false;
    }

    /** Returns the processes whose watches wait. */
    List<String> watching() {
        return followers.entrySet().stream()
                .filter(entry -> entry.getValue().watching)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    void put(String id) {
        revision++;
        byte[] value = Long.toString(revision).getBytes(UTF_8);
        items.put(id, new StoreItem("upstream/" + id, value, revision, revision, false));
    }

    void remove(String id) {
        items.remove(id);
        revision++;
        StoreItem gone = new StoreItem("upstream/" + id, new byte[0], revision, 0, true);
        followers.forEach((name, follower) -> notifyFollower(name, follower, gone));
    }

    /** Copies what it holds, then has upstreams write, so that a return loses revisions. */
    void copyAndWrite() {
        savedItems = new TreeMap<>(items);
        copiedRevision = revision;
        for (int i = 0; i < LOST_REVISIONS; i++) {
            put("lost" + i % 7);
        }
        cluster.advance(1_000);
    }

    /** Comes back; no call fails, and who waits for a change hears of none. */
    void restoreFromCopy() {
        items.clear();
        items.putAll(savedItems);
        revision = copiedRevision;
        epoch++;
        followers.forEach(
                (name, follower) -> {
                    follower.stalled = true;
                    // refused: it asks for changes after a revision that is not there
                    follower.watching &= !cluster.isOlderBuild(name);
                });
    }

    private void serve() {
        long now = cluster.now();
        int number = 0;
        for (String name : cluster.names()) {
            SimulatedProcess process = cluster.process(name);
            number++;
            if (!process.isRunning() || cutOff.contains(name)) {
                continue;
            }
            long pause = process.isHub() ? HUB_CALL_INTERVAL_MILLIS : LEAF_CALL_INTERVAL_MILLIS;
            if ((now + number * 140L) % pause < 20) {
                recordAnswer(process);
            }
            follow(name, process, now);
        }
    }

    private void recordAnswer(SimulatedProcess process) {
        if (!cluster.isOlderBuild(process.member().name())) {
            process.health().history().isCurrent(epoch);
        }
        process.health().answered();
    }

    private void follow(String name, SimulatedProcess process, long now) {
        Follower follower = followers.computeIfAbsent(name, key -> new Follower());
        if (!process.followsStore()) {
            follower.watching = false;
            follower.listDueMillis = -1;
            return;
        }
        boolean same = follower.epoch == process.health().history().epoch();
        if (follower.watching && (same || cluster.isOlderBuild(name))) {
            watch(name, follower);
            return;
        }
        if (follower.listDueMillis < 0) {
            follower.listDueMillis = now + ANSWER_DELAY_MILLIS;
        } else if (now >= follower.listDueMillis) {
            list(process, follower);
        }
    }

    private void list(SimulatedProcess process, Follower follower) {
        listCalls++;
        recordAnswer(process);
        process.directory().listed(List.copyOf(items.values()), revision);
        follower.epoch = epoch;
        follower.revision = revision;
        follower.watching = true;
        follower.stalled = false;
        follower.listDueMillis = -1;
    }

    private void watch(String name, Follower follower) {
        for (StoreItem item : List.copyOf(items.values())) {
            if (item.revision() > follower.revision) {
                notifyFollower(name, follower, item);
            }
        }
    }

    private void notifyFollower(String name, Follower follower, StoreItem item) {
        if (follower.watching && !follower.stalled && !cutOff.contains(name)) {
            follower.revision = Math.max(follower.revision, item.revision());
            cluster.process(name).storeChanged(item);
        }
    }

    /** Returns the processes that do not hold what the store does. */
    List<String> behind() {
        List<String> behind = new ArrayList<>();
        for (String name : cluster.names()) {
            SimulatedProcess process = cluster.process(name);
            Map<String, String> held = new TreeMap<>();
            for (UpstreamEntry entry : process.directory().entries()) {
                held.put(entry.id(), new String(entry.value(), UTF_8));
            }
            Map<String, String> expected = new TreeMap<>();
            items.forEach((id, item) -> expected.put(id, new String(item.value(), UTF_8)));
            boolean onHistory =
                    process.health().history().epoch() == epoch || cluster.isOlderBuild(name);
            if (!onHistory || !held.equals(expected)) {
                behind.add(name);
            }
        }
        return behind;
    }
}
