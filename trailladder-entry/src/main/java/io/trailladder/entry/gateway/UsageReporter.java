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
import io.trailladder.core.duty.UsageLedger;
import io.trailladder.entry.JsonFields;
import io.trailladder.entry.JsonTree;
import io.trailladder.entry.gateway.DecisionLog.Duty;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.DutyApi;
import io.trailladder.entry.port.DutyHolder;
import io.trailladder.entry.port.DutyResult;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import java.io.IOException;
import java.time.Clock;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Reports usage while this process leads.
 *
 * <p>The counts of a window are stored with a conditional write before they are reported, and the
 * stored counts are reported, so that two leaders never report different counts. When the store's
 * history is replaced, the process that stored counts stores them again; for windows that were due
 * before, other processes report only stored counts.
 */
final class UsageReporter {
    private static final String USAGE_PREFIX = "trailladder/record/usage/";
    private static final long SETTLE_MILLIS = 1_800;
    private static final long WINDOWS_REPORTED = 4;

    /**
     * Number of windows whose counts are kept to be stored again: twice those that are reported.
     */
    private static final long WINDOWS_KEPT = 8;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Clock clock;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final DutyApi duties;
    private final UsageLedger usage;
    private final Supplier<DutyHolder> holder;
    private final Runnable outranked;
    private final GatewayMetrics metrics;
    private final Set<Long> reported = new HashSet<>();
    private final Set<Long> busy = new HashSet<>();
    private final Map<Long, byte[]> stored = new TreeMap<>();
    private long lastReachableMillis = NEVER;
    private long lastFollowedMillis = NEVER;
    private long lastUncertainWindow = Long.MIN_VALUE;

    /**
     * Creates a reporter.
     *
     * @param clock the time of day
     * @param store the store
     * @param health notified of answers and failures
     * @param duties the platform's duty calls
     * @param usage the usage counts
     * @param holder supplies the reporter's identity; its token is 0 while this process does not
     *     lead
     * @param outranked run when the platform has seen a higher token
     * @param metrics the process's metrics
     */
    UsageReporter(
            Clock clock,
            CoordinationStore store,
            StoreHealth health,
            DutyApi duties,
            UsageLedger usage,
            Supplier<DutyHolder> holder,
            Runnable outranked,
            GatewayMetrics metrics) {
        this.clock = clock;
        this.store = store;
        this.health = health;
        this.duties = duties;
        this.usage = usage;
        this.holder = holder;
        this.outranked = outranked;
        this.metrics = metrics;
    }

    /**
     * Records until when others may have stored counts. To be called several times a second.
     *
     * @param leads true while this process leads
     * @param nowMillis the time on the steady clock
     */
    void tick(boolean leads, long nowMillis) {
        if (health.isReachable()) {
            lastReachableMillis = nowMillis;
        }
        if (!leads) {
            lastFollowedMillis = nowMillis;
        }
    }

    /** Reports the windows that are due. To be called several times a second by the leader. */
    void reportDue() {
        long settled = settledBefore(0);
        for (long window = settled - WINDOWS_REPORTED + 1; window <= settled; window++) {
            if (!reported.contains(window) && busy.add(window)) {
                record(window);
            }
        }
        reported.removeIf(window -> window < settled - WINDOWS_REPORTED);
        stored.keySet().removeIf(window -> window < settled - WINDOWS_KEPT);
    }

    private long settledBefore(long agoMillis) {
        return usage.windowAt(clock.millis() - agoMillis - SETTLE_MILLIS) - 1;
    }

    /** Stores the counts again that this process knows to have been stored. */
    void historyReplaced(long nowMillis) {
        long othersStoredUntilMillis = Math.min(lastReachableMillis, lastFollowedMillis);
        lastUncertainWindow =
                Math.max(lastUncertainWindow, settledBefore(nowMillis - othersStoredUntilMillis));
        busy.clear();
        stored.forEach(
                (window, value) ->
                        store.write(
                                new StoreWrite(USAGE_PREFIX + window, value, 0, 0), done -> {}));
    }

    /** Stores the counts of a window unless an earlier leader did, then reports what is stored. */
    private void record(long window) {
        if (window <= lastUncertainWindow && !stored.containsKey(window)) {
            readRecord(window);
            return;
        }
        write(window, 0);
    }

    private void write(long window, long expectedRevision) {
        Map<String, Integer> own = usage.total(window);
        byte[] value = stored.containsKey(window) ? stored.get(window) : encode(own);
        store.write(
                new StoreWrite(USAGE_PREFIX + window, value, expectedRevision, 0),
                result -> {
                    if (result.isRight()) {
                        health.answered();
                        stored.put(window, value);
                        report(window, decode(value).orElse(own));
                    } else {
                        health.failed(result.getLeft());
                        readRecord(window);
                    }
                });
    }

    private void readRecord(long window) {
        store.read(
                USAGE_PREFIX + window,
                result -> {
                    if (result.isRight() && !result.get().removed()) {
                        recordFound(window, result.get());
                    } else if (result.isRight() && window <= lastUncertainWindow) {
                        skip(window);
                    } else {
                        busy.remove(window);
                    }
                });
    }

    /** Reports the counts of a record; one of another writer that holds none is replaced. */
    private void recordFound(long window, StoreItem item) {
        Optional<Map<String, Integer>> counts = decode(item.value());
        if (counts.isPresent()) {
            stored.put(window, item.value());
            report(window, counts.get());
        } else {
            write(window, item.revision());
        }
    }

    /**
     * Skips a window, since other counts may have been reported from a record that the store has
     * lost.
     */
    private void skip(long window) {
        busy.remove(window);
        reported.add(window);
        DecisionLog.write(
                new Lifecycle("usage of window " + window, "left out", "its record is lost"));
    }

    private void report(long window, Map<String, Integer> counts) {
        DutyHolder reporter = holder.get();
        if (reporter.token() == 0) {
            busy.remove(window);
            return;
        }
        duties.reportUsage(
                reporter,
                window,
                counts,
                result -> {
                    DecisionLog.write(
                            new Duty("usage", "window " + window, reporter.token(), result.name()));
                    busy.remove(window);
                    if (result == DutyResult.ACCEPTED) {
                        reported.add(window);
                    } else {
                        metrics.count(GatewayMetrics.Event.DUTY_FAILURE);
                    }
                    if (result == DutyResult.DECLINED) {
                        outranked.run();
                    }
                });
    }

    private static byte[] encode(Map<String, Integer> counts) {
        ObjectNode node = JsonTree.object();
        counts.forEach(node::put);
        return JsonTree.write(node);
    }

    /** Returns the counts of a record; empty if another writer left something else there. */
    private static Optional<Map<String, Integer>> decode(byte[] value) {
        try {
            JsonNode node = JsonTree.read(value);
            Map<String, Integer> counts = new TreeMap<>();
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                JsonNode count = field.getValue();
                if (!count.isInt() || count.intValue() < 0) {
                    Logger.warn(
                            "stored usage count is {}, expected a whole number from 0",
                            JsonFields.shown(count));
                    return Optional.empty();
                }
                counts.put(field.getKey(), count.intValue());
            }
            if (node.isObject()) {
                return Optional.of(counts);
            }
            Logger.warn("stored usage counts are {}, expected an object", JsonFields.shown(node));
        } catch (IOException e) {
            Logger.warn("stored usage counts cannot be decoded: {}", e.getMessage());
        }
        return Optional.empty();
    }
}
