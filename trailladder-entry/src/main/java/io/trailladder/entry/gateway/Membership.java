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
import org.tinylog.Logger;

/**
 * This process's own entry in the store, under a lease, and those of the others.
 *
 * <p>The list is read now and then rather than watched: when many processes start, each would else
 * be told of each.
 *
 * @since 0.2
 */
public final class Membership {
    /** Prefix of the keys of all processes; their names follow it. */
    public static final String PREFIX = "trailladder/live/node/";

    private static final long FIRST_LIST_DELAY_MILLIS = 400;
    private static final long SETTLING_LIST_INTERVAL_MILLIS = 1_000;
    private static final long HUB_LIST_INTERVAL_MILLIS = 3_000;

    /**
     * How often a leaf with a hub lists, in milliseconds: it is told what its hub reads, and needs
     * the list itself only to find another hub. Reading the list of 70 processes every 3 s was an
     * eighth of the processor time of a leaf at rest, and a quarter of all calls.
     */
    private static final long LEAF_LIST_INTERVAL_MILLIS = 6_000;

    private static final int SETTLING_LIST_COUNT = 3;

    /** Time to live of the entry, in milliseconds: it outlives an outage of 6 s. */
    private static final long TTL_MILLIS = 10_000;

    private static final long RENEW_INTERVAL_MILLIS = 3_000;
    private static final long HUB_RENEW_INTERVAL_MILLIS = 900;
    private static final long RETRY_DELAY_MILLIS = 700;

    /**
     * Over how long processes look after their entries once the store's history was replaced, in
     * milliseconds for each process: 340 make 600 calls a second.
     */
    private static final long SPREAD_PER_PROCESS_MILLIS = 5;

    /**
     * How long after that a process counts as listed that was listed before, in milliseconds: it
     * hears of the change within 2 s and writes itself again.
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

    /** The entries of the last list by key: one that has not changed is not read anew. */
    private final Map<String, Known> known = new HashMap<>();

    private final byte[] value;
    private final SplittableRandom random;
    private int listCount;
    private int historyRound;
    private long rewriteGraceUntilMillis = Long.MIN_VALUE;
    private long ownRevision;
    private long lease;
    private long writtenLease;
    private boolean stopped;

    /**
     * Creates the entry of a process; it is not yet written.
     *
     * @param loop the loop whose thread runs it
     * @param store the store
     * @param health told of answers and failures
     * @param mesh told of the others
     * @param self this process
     * @param firstStart true if all processes start now, so that few are listed at once
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
        health.history().onReplaced(this::historyReplaced);
    }

    /** Writes the entry and keeps it, and reads those of the others. */
    public void start() {
        grant(historyRound);
        if (firstStart) {
            loop.schedule(FIRST_LIST_DELAY_MILLIS, this::list);
        } else {
            list();
        }
    }

    /** Takes the entry away. */
    public void stop() {
        stopped = true;
        if (lease != 0) {
            store.end(lease, ended -> {});
        }
    }

    private void list() {
        if (!stopped) {
            listed.clear();
            listAfter("");
        }
    }

    private void listAfter(String afterKey) {
        Freshness freshness = listCount < SETTLING_LIST_COUNT ? Freshness.LATEST : Freshness.RECENT;
        store.list(PREFIX, afterKey, freshness, this::pageReceived);
    }

    private void pageReceived(Either<StoreFailure, StoreBatch> result) {
        if (result.isLeft()) {
            health.failed(result.getLeft());
            loop.schedule(SETTLING_LIST_INTERVAL_MILLIS, this::list);
            return;
        }
        health.answered();
        List<StoreItem> items = result.get().items();
        items.forEach(this::add);
        if (result.get().more() && !items.isEmpty()) {
            listAfter(items.get(items.size() - 1).key());
            return;
        }
        listCount++;
        if (known.size() > listed.size()) {
            Set<GatewayMember> present = new HashSet<>(listed);
            known.values().removeIf(entry -> !present.contains(entry.member()));
        }
        mesh.members(loop.nowMillis() < rewriteGraceUntilMillis ? withMissing() : List.copyOf(listed));
        loop.schedule(listMillis(), this::list);
    }

    /** Returns the processes listed, and those listed before that may write themselves again. */
    private List<GatewayMember> withMissing() {
        Map<String, GatewayMember> byName = new LinkedHashMap<>();
        mesh.members().forEach(member -> byName.put(member.name(), member));
        listed.forEach(member -> byName.put(member.name(), member));
        return List.copyOf(byName.values());
    }

    /** Neither the entry nor its lease need be there any more, nor be this process's. */
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
                .peek(member -> add(item, member))
                .peekLeft(fault -> Logger.warn("entry {} cannot be read: {}", item.key(), fault));
    }

    private void add(StoreItem item, GatewayMember member) {
        listed.add(member);
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

    /** Does what a call or a pause was for, unless that was in an earlier history of the store. */
    private void ifCurrent(int current, Runnable task) {
        if (current == historyRound && !stopped) {
            task.run();
        }
    }

    /** A hub must know soon that the store is lost, because its leaves rely on it. */
    private long renewMillis() {
        boolean feeds = mesh.isHub() && mesh.size() > HubTopology.FULL_MESH_MAX_PROCESSES;
        return feeds ? HUB_RENEW_INTERVAL_MILLIS : RENEW_INTERVAL_MILLIS;
    }

    private void retryLater(int current, StoreFailure failure) {
        health.failed(failure);
        loop.schedule(RETRY_DELAY_MILLIS, () -> readOwn(current));
    }

    /**
     * After a conflict, a lost answer or a change of the store's history the entry is read before
     * it is written again. One that stands as it was written last was there all the time, with its
     * lease.
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
        result.peek(item -> ownRevision = item.gone() ? 0 : item.revision());
        grant(current);
    }

    private void log(String what) {
        DecisionLog.write(new Lifecycle("own entry", what, "revision " + ownRevision));
    }

    private boolean isAsWritten(StoreItem item) {
        return lease == 0
                && writtenLease != 0
                && !item.gone()
                && item.revision() == ownRevision
                && Arrays.equals(item.value(), value);
    }
}
