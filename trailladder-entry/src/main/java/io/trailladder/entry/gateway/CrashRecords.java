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

import io.trailladder.core.crash.CrashReport;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.CoordinationStore.Freshness;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Records in the platform's store which requests are refused because upstreams ended while running
 * them, so that the record outlives a loss of all processes at once. The leader writes the record
 * when it changes, and every process reads it when it starts.
 *
 * <p>The value consists of the time of day at which it was written, in milliseconds since the
 * epoch, and of reports as {@link CrashReportCodec} encodes them.
 */
final class CrashRecords {
    /** Key of the record. */
    static final String KEY = "trailladder/record/crashes";

    /** How often the leader checks for changes to write, in milliseconds. */
    private static final long WRITE_CHECK_INTERVAL_MILLIS = 1_000;

    /** Delay between a failed read and the next one, in milliseconds. */
    private static final long READ_RETRY_MILLIS = 2_000;

    /** Max. number of reads: peers report the same, and the store may be unreachable for long. */
    private static final int MAX_READS = 10;

    /** Max. size of the value in bytes: about 50 requests with four ends each. */
    private static final int MAX_VALUE_BYTES = 4_096;

    private static final String SOURCE = "store";

    private final EventLoop loop;
    private final Clock clock;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final CrashWatch crashes;
    private final BooleanSupplier leads;
    private Set<RequestTrait> writtenRequests = Set.of();
    private long revision;
    private int readCount;
    private boolean loaded;
    private boolean busy;
    private boolean replaced;

    CrashRecords(
            EventLoop loop,
            Clock clock,
            CoordinationStore store,
            StoreHealth health,
            CrashWatch crashes,
            BooleanSupplier leads) {
        this.loop = loop;
        this.clock = clock;
        this.store = store;
        this.health = health;
        this.crashes = crashes;
        this.leads = leads;
        health.history().onReplaced(this::historyReplaced);
    }

    /**
     * Starts to read and write the record.
     *
     * @param firstStart true if no record was written before, so that none is read
     */
    void start(boolean firstStart) {
        loaded = firstStart;
        if (!firstStart) {
            read();
        }
        loop.repeat(WRITE_CHECK_INTERVAL_MILLIS, this::writeChanges);
    }

    /** Returns whether the earlier record was read, or there was none to read. */
    boolean isLoaded() {
        return loaded;
    }

    /**
     * Has the leader read the record and write it again: the store may have lost what was written.
     */
    private void historyReplaced() {
        revision = 0;
        writtenRequests = Set.of();
        busy = false;
        replaced = true;
    }

    private void read() {
        readCount++;
        store.list(KEY, "", Freshness.RECENT, this::onRead);
    }

    private void onRead(Either<StoreFailure, StoreBatch> result) {
        if (result.isRight()) {
            health.answered();
            result.get().items().forEach(this::apply);
            loaded = true;
            return;
        }
        health.failed(result.getLeft());
        if (readCount < MAX_READS) {
            loop.schedule(READ_RETRY_MILLIS, this::read);
        }
    }

    private void apply(StoreItem item) {
        revision = item.revision();
        ByteBuffer value = ByteBuffer.wrap(item.value());
        if (item.removed() || value.remaining() < Long.BYTES) {
            return;
        }
        long age = Math.max(0, clock.millis() - value.getLong());
        try {
            List<CrashReport> reports = CrashReportCodec.read(value, loop.nowMillis() - age);
            reports.forEach(report -> crashes.receiveReport(SOURCE, report));
        } catch (IOException e) {
            DecisionLog.write(new Lifecycle(KEY, "passed over", e.getMessage()));
        }
    }

    private void writeChanges() {
        if (busy || !leads.getAsBoolean()) {
            return;
        }
        List<CrashReport> reports = crashes.ledger().refusedAsCause();
        Set<RequestTrait> refused = new HashSet<>();
        reports.forEach(report -> refused.add(report.request()));
        if (replaced) {
            replaced = false;
            readBack();
        } else if (!refused.equals(writtenRequests)) {
            write(reports, refused);
        }
    }

    private void write(List<CrashReport> reports, Set<RequestTrait> requests) {
        busy = true;
        byte[] encoded =
                CrashReportCodec.write(reports, MAX_VALUE_BYTES - Long.BYTES, loop.nowMillis());
        byte[] value =
                ByteBuffer.allocate(Long.BYTES + encoded.length)
                        .putLong(clock.millis())
                        .put(encoded)
                        .array();
        store.write(new StoreWrite(KEY, value, revision, 0), result -> onWritten(requests, result));
    }

    private void onWritten(Set<RequestTrait> requests, Either<StoreFailure, Long> result) {
        busy = false;
        if (result.isRight()) {
            health.answered();
            revision = result.get();
            writtenRequests = requests;
            return;
        }
        health.failed(result.getLeft());
        if (result.getLeft() == StoreFailure.CONFLICT
                || result.getLeft() == StoreFailure.UNANSWERED) {
            // another leader has written, or this write was done though its answer was lost
            readBack();
        }
    }

    private void readBack() {
        busy = true;
        store.read(KEY, this::onReadBack);
    }

    private void onReadBack(Either<StoreFailure, StoreItem> result) {
        busy = false;
        if (result.isRight()) {
            health.answered();
            apply(result.get());
        } else {
            health.failed(result.getLeft());
        }
    }
}
