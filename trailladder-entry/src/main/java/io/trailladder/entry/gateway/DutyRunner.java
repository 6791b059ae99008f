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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.trailladder.core.duty.LeaderElection;
import io.trailladder.core.duty.UsageLedger;
import io.trailladder.entry.JsonTree;
import io.trailladder.entry.gateway.DecisionLog.Duty;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.DutyApi;
import io.trailladder.entry.port.DutyHolder;
import io.trailladder.entry.port.DutyResult;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tinylog.Logger;

/**
 * Holds the leader's lease if it can, and reports usage while it does.
 *
 * <p>The counts of a window are stored under a condition before they are reported, and exactly what
 * is stored is reported, so that two leaders never report different counts.
 *
 * @since 0.2
 */
public final class DutyRunner implements StoreWatcher.Listener {
    /** Prefix of the leader's key. */
    public static final String LEADER_PREFIX = "trailladder/live/leader";

    private static final String USAGE_PREFIX = "trailladder/record/usage/";
    private static final long STEP_MILLIS = 100;
    private static final long SETTLE_MILLIS = 1_800;
    private static final long WINDOWS_BACK = 4;

    /** How often counts of old windows are dropped, in milliseconds: it looks at all counts. */
    private static final long FORGET_MILLIS = 1_000;

    private final EventLoop loop;
    private final Clock clock;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final DutyApi duties;
    private final UsageLedger usage;
    private final LeaderElection election;
    private final String name;
    private final String life;
    private final long ttlMillis;
    private final GatewayMetrics metrics;
    private final Set<Long> reported = new HashSet<>();
    private final Set<Long> busy = new HashSet<>();
    private boolean led;

    /**
     * Creates the runner of a process that follows.
     *
     * @param loop the loop whose thread runs it
     * @param clock the time of day
     * @param store the store
     * @param health told of answers and failures
     * @param duties the platform's calls
     * @param usage the counts
     * @param election decides about the lease
     * @param name this process's name
     * @param life names this life of this process
     * @param timing bounds of time
     * @param metrics the process's figures
     */
    public DutyRunner(
            EventLoop loop,
            Clock clock,
            CoordinationStore store,
            StoreHealth health,
            DutyApi duties,
            UsageLedger usage,
            LeaderElection election,
            String name,
            String life,
            GatewaySettings.Timing timing,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.clock = clock;
        this.store = store;
        this.health = health;
        this.duties = duties;
        this.usage = usage;
        this.election = election;
        this.name = name;
        this.life = life;
        this.ttlMillis = timing.leaseMillis();
        this.metrics = metrics;
    }

    /** Begins to take part. */
    public void start() {
        loop.repeat(STEP_MILLIS, this::step);
        loop.repeat(FORGET_MILLIS, () -> usage.forgetOld(clock.millis()));
    }

    /** Gives the lease up if it is held, and asks for none any more. */
    public void stop() {
        election.stop();
        step();
    }

    /**
     * Tells whether this process leads.
     *
     * @return true while its lease surely holds
     */
    public boolean leads() {
        return election.leads(loop.nowMillis());
    }

    /**
     * Returns who this process is as the leader.
     *
     * @return its name and fencing token
     */
    public DutyHolder holder() {
        return new DutyHolder(name, election.token());
    }

    /** Records that a call was refused because another process has a higher token. */
    public void outranked() {
        election.lost(loop.nowMillis());
    }

    @Override
    public void listed(List<StoreItem> items, long revision) {
        if (items.isEmpty()) {
            election.keyGone(loop.nowMillis());
        } else {
            changed(items.get(0));
        }
    }

    @Override
    public void changed(StoreItem item) {
        if (item.gone()) {
            election.keyGone(loop.nowMillis());
        } else {
            election.keySeen(item.made());
        }
    }

    private void step() {
        long now = loop.nowMillis();
        switch (election.next(now)) {
            case GRANT -> store.grant(ttlMillis, this::granted);
            case CLAIM -> claim();
            case RENEW -> renew(now);
            case END -> store.end(election.lease(), ended -> {});
            case NONE -> {}
        }
        boolean leads = election.leads(now);
        if (leads != led) {
            led = leads;
            String state = leads ? "leading" : "following";
            DecisionLog.write(new Lifecycle("leadership", state, "token " + election.token()));
        }
        if (leads) {
            reportDue();
        }
    }

    private void granted(Either<StoreFailure, Long> result) {
        if (result.isLeft()) {
            health.failed(result.getLeft());
            election.notClaimed(loop.nowMillis());
            return;
        }
        health.answered();
        election.granted(result.get());
        step();
    }

    private void claim() {
        long lease = election.lease();
        byte[] value = life.getBytes(StandardCharsets.UTF_8);
        store.write(
                new StoreWrite(LEADER_PREFIX, value, 0, lease), result -> claimed(lease, result));
    }

    private void claimed(long lease, Either<StoreFailure, Long> result) {
        if (result.isRight()) {
            health.answered();
            election.claimed(result.get());
            step();
            return;
        }
        health.failed(result.getLeft());
        election.notClaimed(loop.nowMillis());
        store.end(lease, ended -> {});
    }

    private void renew(long sentMillis) {
        store.renew(
                election.lease(),
                result -> {
                    if (result.isRight()) {
                        health.answered();
                        election.renewed(sentMillis);
                    } else if (result.getLeft() == StoreFailure.LEASE_GONE) {
                        election.lost(loop.nowMillis());
                    } else {
                        health.failed(result.getLeft());
                    }
                });
    }

    private void reportDue() {
        long settled = usage.windowAt(clock.millis() - SETTLE_MILLIS) - 1;
        for (long window = settled - WINDOWS_BACK + 1; window <= settled; window++) {
            if (!reported.contains(window) && busy.add(window)) {
                record(window);
            }
        }
        reported.removeIf(window -> window < settled - WINDOWS_BACK);
    }

    /** Stores the counts of a window unless an earlier leader did, then reports what is stored. */
    private void record(long window) {
        Map<String, Integer> counts = usage.total(window);
        byte[] value = encode(counts);
        String key = USAGE_PREFIX + window;
        store.write(
                new StoreWrite(key, value, 0, 0),
                result -> {
                    if (result.isRight()) {
                        health.answered();
                        report(window, counts);
                    } else {
                        health.failed(result.getLeft());
                        readRecord(window, key);
                    }
                });
    }

    private void readRecord(long window, String key) {
        store.read(
                key,
                result -> {
                    if (result.isRight() && !result.get().gone()) {
                        report(window, decode(result.get().value()));
                    } else {
                        busy.remove(window);
                    }
                });
    }

    private void report(long window, Map<String, Integer> counts) {
        if (!leads()) {
            busy.remove(window);
            return;
        }
        DutyHolder holder = holder();
        duties.reportUsage(
                holder,
                window,
                counts,
                result -> {
                    DecisionLog.write(
                            new Duty("usage", "window " + window, holder.token(), result.name()));
                    busy.remove(window);
                    if (result == DutyResult.ACCEPTED) {
                        reported.add(window);
                    } else {
                        metrics.count(GatewayMetrics.Event.DUTY_FAILURE);
                    }
                    if (result == DutyResult.DECLINED) {
                        outranked();
                    }
                });
    }

    private static byte[] encode(Map<String, Integer> counts) {
        ObjectNode node = JsonTree.object();
        counts.forEach(node::put);
        return JsonTree.write(node);
    }

    private static Map<String, Integer> decode(byte[] value) {
        Map<String, Integer> counts = new TreeMap<>();
        try {
            for (Map.Entry<String, JsonNode> field : JsonTree.read(value).properties()) {
                counts.put(field.getKey(), field.getValue().asInt());
            }
        } catch (IOException e) {
            Logger.warn("stored usage cannot be read: {}", e.getMessage());
        }
        return counts;
    }
}
