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

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.core.duty.UsageLedger;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.DutyApi;
import io.trailladder.entry.port.DutyHolder;
import io.trailladder.entry.port.DutyResult;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/** Tests which counts are reported when the store already has a record of a window. */
class UsageReporterTest {
    private static final long WINDOW_MILLIS = 1_000;
    private static final long WINDOW = 96;
    private static final Map<String, Integer> OWN = Map.of("t", 1);

    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<Long, Map<String, Integer>> reports = new HashMap<>();
    private long revision = 10;

    @SuppressWarnings("unchecked")
    private CoordinationStore store() {
        return PortStandIn.of(
                CoordinationStore.class,
                (proxy, method, arguments) -> {
                    if (method.getName().equals("write")) {
                        ((Consumer<Either<StoreFailure, Long>>) arguments[1])
                                .accept(write((StoreWrite) arguments[0]));
                    } else if (method.getName().equals("read")) {
                        ((Consumer<Either<StoreFailure, StoreItem>>) arguments[1])
                                .accept(Either.right(item((String) arguments[0])));
                    }
                    return null;
                });
    }

    private StoreItem item(String key) {
        return items.getOrDefault(key, new StoreItem(key, new byte[0], 0, 0, true));
    }

    private Either<StoreFailure, Long> write(StoreWrite write) {
        if (item(write.key()).revision() != write.expectedRevision()) {
            return Either.left(StoreFailure.CONFLICT);
        }
        revision++;
        items.put(
                write.key(), new StoreItem(write.key(), write.value(), revision, revision, false));
        return Either.right(revision);
    }

    private DutyApi duties() {
        return PortStandIn.of(
                DutyApi.class,
                (proxy, method, arguments) -> {
                    report(arguments);
                    return null;
                });
    }

    @SuppressWarnings("unchecked")
    private void report(Object[] arguments) {
        reports.put((Long) arguments[1], (Map<String, Integer>) arguments[2]);
        ((Consumer<DutyResult>) arguments[3]).accept(DutyResult.ACCEPTED);
    }

    /** Returns what is reported of a window that the store has a record of. */
    private Map<String, Integer> reported(String record) {
        String key = "trailladder/record/usage/" + WINDOW;
        byte[] value = record.getBytes(StandardCharsets.UTF_8);
        items.put(key, new StoreItem(key, value, 5, 5, false));
        reports.clear();
        Clock clock = Clock.fixed(Instant.ofEpochMilli(100_000), ZoneOffset.UTC);
        UsageLedger usage = new UsageLedger("g/1", WINDOW_MILLIS);
        usage.started("t", WINDOW * WINDOW_MILLIS);
        GatewayMetrics metrics = new GatewayMetrics();
        new UsageReporter(
                        clock,
                        store(),
                        new StoreHealth(metrics),
                        duties(),
                        usage,
                        () -> new DutyHolder("g", 7),
                        () -> {},
                        metrics)
                .reportDue();
        return reports.get(WINDOW);
    }

    @Example
    void recordOfAnEarlierLeaderIsReported() {
        assertEquals(Map.of("t", 3, "u", 0), reported("{\"t\": 3, \"u\": 0}"));
    }

    /** Guards against usage that is lost because another writer has left an odd record. */
    @Example
    void recordThatCannotBeReadIsReplaced() {
        for (String record :
                List.of(
                        "",
                        "null",
                        "[1]",
                        "no json",
                        "[".repeat(100_000),
                        "{\"t\": -1}",
                        "{\"t\": 1e400}",
                        "{\"t\": 1.5}",
                        "{\"t\": \"3\"}",
                        "{\"t\": {}}",
                        "{\"t\": 99999999999}")) {
            assertEquals(OWN, reported(record), record);
        }
    }
}
