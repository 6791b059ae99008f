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

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.membership.HubTopology;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.CoordinationStore.Freshness;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Keeps this process's own entry in the store, under a lease, and reads those of the others.
 *
 * <p>The list is read periodically rather than watched: when many processes start, each would
 * otherwise be notified of each other one.
 *
 * @since 0.2
 */
public final class Membership {
    /** Prefix of the keys of all processes; the name of the process follows it. */
    public static final String PREFIX = "trailladder/live/node/";

    private static final long FIRST_LIST_DELAY_MILLIS = 400;
    private static final long SETTLING_LIST_INTERVAL_MILLIS = 1_000;
    private static final long HUB_LIST_INTERVAL_MILLIS = 3_000;

    /**
     * Interval at which a leaf with a hub reads the list, in milliseconds: it receives what its hub
     * reads, and needs the list itself only to find another hub. At an interval of 3 s, reading the
     * list of 70 processes takes an eighth of the processor time of an idle leaf, and makes up a
     * quarter of all store calls.
     */
    private static final long LEAF_LIST_INTERVAL_MILLIS = 6_000;

    private static final int SETTLING_LIST_COUNT = 3;

    /** Time to live of the entry, in milliseconds: it outlasts an outage of 6 s. */
    private static final long TTL_MILLIS = 10_000;

    private static final long RENEW_INTERVAL_MILLIS = 3_000;
    private static final long HUB_RENEW_INTERVAL_MILLIS = 900;
    private static final long RETRY_DELAY_MILLIS = 700;

    /**
     * Period over which processes spread the check of their entries after the store's history was
     * replaced, in milliseconds per process: 340 processes make 600 calls a second.
     */
    private static final long SPREAD_PER_PROCESS_MILLIS = 5;

    /**
     * How long after that a process that was listed before still counts as listed, in milliseconds:
     * it learns of the change within 2 s and writes its entry again.
     */
    private static final long REWRITE_GRACE_MILLIS = 4_000;

    /** An entry as it was read. */
    private record Known(long revision, GatewayMember member) {}

    private final EventLoop loop;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final PeerMesh mesh;
    private final String key;
    private final boolean firstStart;
    private final List<GatewayMember> listed = new ArrayList<>();

    /** The entries of the last list by key; an entry that has not changed is not parsed again. */
    private final Map<String, Known> known = new HashMap<>();

    private final Set<String> listedKeys = new HashSet<>();
    private final UnusableEntries unusable = new UnusableEntries("process");
    private final byte[] value;
    private final SplittableRandom random;
    private final StoreReads reads;
    private int listCount;

    /**
     * Incremented when the store's history is replaced; calls and delays of earlier rounds are
     * ignored.
     */
    private int historyRound;

    private long rewriteGraceUntilMillis = Long.MIN_VALUE;
    private long ownRevision;
    private long lease;
    private long writtenLease;
    private boolean stopped;

    /**
     * Creates the entry of a process; it is not written yet.
     *
     * @param loop the event loop whose thread runs it
     * @param store the store
     * @param health notified of answers and failures of the store
     * @param mesh notified of the other processes
     * @param self this process
     * @param firstStart true if all processes are starting now, so that few are listed at first
     * @param random spreads calls that all processes make for the same reason
     */
    public Membership(
            EventLoop loop,
            CoordinationStore store,
            StoreHealth health,
            PeerMesh mesh,
            GatewayMember self,
            boolean firstStart,
            SplittableRandom random) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.mesh = mesh;
        this.key = PREFIX + self.name();
        this.firstStart = firstStart;
        this.random = random;
        this.value = MemberFormat.write(self);
        this.reads = new StoreReads(loop, health, () -> listCount > 0, this::list);
        health.history().onReplaced(this::historyReplaced);
    }

    /** Writes the entry and renews its lease, and reads the entries of the others. */
    public void start() {
        grant(historyRound);
        if (firstStart) {
            reads.beginAfter(FIRST_LIST_DELAY_MILLIS);
        } else {
            reads.begin();
        }
    }

    /** Ends the lease, which removes the entry. */
    public void stop() {
        stopped = true;
        if (lease != 0) {
            store.end(lease, ended -> {});
        }
    }

    private void list(int read) {
        if (!stopped) {
            listed.clear();
            listedKeys.clear();
            listAfter(read, "");
        }
    }

    private void listAfter(int read, String afterKey) {
        Freshness freshness = listCount < SETTLING_LIST_COUNT ? Freshness.LATEST : Freshness.RECENT;
        store.list(PREFIX, afterKey, freshness, result -> pageReceived(read, result));
    }

    private void pageReceived(int read, Either<StoreFailure, StoreBatch> result) {
        if (!reads.ended(read, result)) {
            return;
        }
        if (result.isLeft()) {
            reads.beginAfter(SETTLING_LIST_INTERVAL_MILLIS);
            return;
        }
        List<StoreItem> items = result.get().items();
        items.forEach(this::add);
        items.forEach(item -> listedKeys.add(item.key()));
        if (result.get().more() && !items.isEmpty()) {
            listAfter(read, items.get(items.size() - 1).key());
            return;
        }
        listCount++;
        unusable.retain(listedKeys);
        if (known.size() > listed.size()) {
            Set<GatewayMember> present = new HashSet<>(listed);
            known.values().removeIf(entry -> !present.contains(entry.member()));
        }
        mesh.members(
                loop.nowMillis() < rewriteGraceUntilMillis ? withMissing() : List.copyOf(listed));
        reads.beginAfter(listMillis());
    }

    /** Returns the listed processes, and those listed before that may write their entries again. */
    private List<GatewayMember> withMissing() {
        Map<String, GatewayMember> byName = new LinkedHashMap<>();
        mesh.members().forEach(member -> byName.put(member.name(), member));
        listed.forEach(member -> byName.put(member.name(), member));
        return List.copyOf(byName.values());
    }

    /**
     * Has the own entry checked: neither it nor its lease need exist in the new history, or belong
     * to this process.
     */
    private void historyReplaced() {
        known.clear();
        rewriteGraceUntilMillis = loop.nowMillis() + REWRITE_GRACE_MILLIS;
        if (lease != 0 && !stopped) {
            lease = 0;
            historyRound++;
            int current = historyRound;
            long spread = 1 + SPREAD_PER_PROCESS_MILLIS * mesh.size();
            loop.schedule(random.nextLong(spread), () -> readOwn(current));
        }
    }

    private long listMillis() {
        if (listCount < SETTLING_LIST_COUNT || mesh.lacksHub()) {
            return SETTLING_LIST_INTERVAL_MILLIS;
        }
        return mesh.isHub() ? HUB_LIST_INTERVAL_MILLIS : LEAF_LIST_INTERVAL_MILLIS;
    }

    private void add(StoreItem item) {
        if (item.key().equals(key)) {
            ownRevision = item.revision();
        }
        Known before = known.get(item.key());
        if (before != null && before.revision() == item.revision()) {
            listed.add(before.member());
            return;
        }
        MemberFormat.read(item.value())
                .filterOrElse(
                        member -> item.key().equals(PREFIX + member.name()),
                        member -> "name '" + member.name() + "', expected the end of the key")
                .peek(member -> add(item, member))
                .peekLeft(
                        fault ->
                                unusable.add(item.key(), item.revision(), fault, loop.nowMillis()));
    }

    private void add(StoreItem item, GatewayMember member) {
        listed.add(member);
        unusable.remove(item.key());
        known.put(item.key(), new Known(item.revision(), member));
    }

    private void grant(int current) {
        store.grant(TTL_MILLIS, result -> ifCurrent(current, () -> granted(current, result)));
    }

    private void granted(int current, Either<StoreFailure, Long> result) {
        if (result.isLeft()) {
            retryLater(current, result.getLeft());
            return;
        }
        health.answered();
        lease = result.get();
        store.write(
                new StoreWrite(key, value, ownRevision, lease),
                done -> ifCurrent(current, () -> written(current, done)));
    }

    private void written(int current, Either<StoreFailure, Long> result) {
        if (result.isLeft()) {
            retryLater(current, result.getLeft());
            return;
        }
        health.answered();
        ownRevision = result.get();
        writtenLease = lease;
        log("written");
        renewAfter(RENEW_INTERVAL_MILLIS, current);
    }

    private void renewAfter(long millis, int current) {
        loop.schedule(millis, () -> ifCurrent(current, () -> renew(current)));
    }

    private void renew(int current) {
        store.renew(lease, result -> ifCurrent(current, () -> renewed(current, result)));
    }

    private void renewed(int current, Either<StoreFailure, Long> result) {
        if (result.isLeft() && result.getLeft() == StoreFailure.LEASE_GONE) {
            health.answered();
            grant(current);
            return;
        }
        if (result.isLeft()) {
            health.failed(result.getLeft());
            renewAfter(RETRY_DELAY_MILLIS, current);
            return;
        }
        health.answered();
        renewAfter(renewMillis(), current);
    }

    /**
     * Runs a task unless the call or delay before it started in an earlier history of the store.
     */
    private void ifCurrent(int current, Runnable task) {
        if (current == historyRound && !stopped) {
            task.run();
        }
    }

    /**
     * Returns the renewal interval. A hub must detect the loss of the store early, because its
     * leaves rely on it.
     */
    private long renewMillis() {
        boolean hasLeaves = mesh.isHub() && mesh.size() > HubTopology.FULL_MESH_MAX_PROCESSES;
        return hasLeaves ? HUB_RENEW_INTERVAL_MILLIS : RENEW_INTERVAL_MILLIS;
    }

    private void retryLater(int current, StoreFailure failure) {
        health.failed(failure);
        loop.schedule(RETRY_DELAY_MILLIS, () -> readOwn(current));
    }

    /**
     * Reads the entry before it is written again, after a conflict, a lost answer or a change of
     * the store's history. An entry that is unchanged since it was last written has existed all the
     * time, with its lease.
     */
    private void readOwn(int current) {
        ifCurrent(
                current,
                () ->
                        store.read(
                                key, result -> ifCurrent(current, () -> ownRead(current, result))));
    }

    private void ownRead(int current, Either<StoreFailure, StoreItem> result) {
        result.peekLeft(health::failed);
        if (result.isRight() && isAsWritten(result.get())) {
            lease = writtenLease;
            log("kept");
            renew(current);
            return;
        }
        result.peek(item -> ownRevision = item.removed() ? 0 : item.revision());
        grant(current);
    }

    private void log(String what) {
        DecisionLog.write(new Lifecycle("own entry", what, "revision " + ownRevision));
    }

    private boolean isAsWritten(StoreItem item) {
        return lease == 0
                && writtenLease != 0
                && !item.removed()
                && item.revision() == ownRevision
                && Arrays.equals(item.value(), value);
    }
}
