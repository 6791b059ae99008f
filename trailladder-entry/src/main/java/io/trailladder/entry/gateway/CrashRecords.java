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
import io.trailladder.core.crash.RequestFingerprint;
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
 * Keeps in the platform's store which requests are refused because upstreams ended under them, for
 * the case that all processes are lost at once: the leader writes it when it changes, and every
 * process that starts reads it.
 *
 * <p>The value is the time of day at which it was written, in milliseconds, and reports by {@link
 * CrashReportCodec}.
 */
final class CrashRecords {
    /** Where it is kept. */
    static final String KEY = "trailladder/record/crashes";

    /** How often the leader looks whether something has changed, in milliseconds. */
    private static final long WRITE_CHECK_INTERVAL_MILLIS = 1_000;

    /** How long after a read that failed it is tried again, in milliseconds. */
    private static final long READ_RETRY_MILLIS = 2_000;

    /** Most reads that are tried: peers tell the same, and the store may be away for long. */
    private static final int MAX_READS = 10;

    /** Most bytes of the value: some 50 requests with four ends each. */
    private static final int MAX_VALUE_BYTES = 4_096;

    private static final String SOURCE = "store";

    private final EventLoop loop;
    private final Clock clock;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final CrashWatch crashes;
    private final BooleanSupplier leads;
    private Set<RequestFingerprint> writtenRequests = Set.of();
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
     * Begins to keep the record.
     *
     * @param firstStart true if nothing was kept before, so that nothing needs reading
     */
    void start(boolean firstStart) {
        loaded = firstStart;
        if (!firstStart) {
            read();
        }
        loop.repeat(WRITE_CHECK_INTERVAL_MILLIS, this::writeChanges);
    }

    /** Tells whether what was kept before is known. */
    boolean isLoaded() {
        return loaded;
    }

    /** What was written may be gone: the leader reads what stands there and writes again. */
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
        List<CrashReport> reports = crashes.ledger().refused();
        Set<RequestFingerprint> now = new HashSet<>();
        reports.forEach(report -> now.add(report.request()));
        if (replaced) {
            replaced = false;
            readBack();
        } else if (!now.equals(writtenRequests)) {
            write(reports, now);
        }
    }

    private void write(List<CrashReport> reports, Set<RequestFingerprint> requests) {
        busy = true;
        byte[] told = CrashReportCodec.write(reports, MAX_VALUE_BYTES - Long.BYTES, loop.nowMillis());
        byte[] value =
                ByteBuffer.allocate(Long.BYTES + told.length)
                        .putLong(clock.millis())
                        .put(told)
                        .array();
        store.write(
                new StoreWrite(KEY, value, revision, 0), result -> onWritten(requests, result));
    }

    private void onWritten(Set<RequestFingerprint> requests, Either<StoreFailure, Long> result) {
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
            // another leader has written, or this write was done: what stands there is taken over
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
