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
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The record of requests that are refused because upstreams ended while running them.
 *
 * <p>The value consists of the time of day at which it was written, in milliseconds since the
 * epoch, and of reports as {@link CrashReportCodec} encodes them.
 */
final class CrashRecords implements StoreRecord.Content<Set<RequestTrait>> {
    /** Key of the record. */
    static final String KEY = "trailladder/record/crashes";

    /** Max. size of the value in bytes: about 50 requests with four ends each. */
    private static final int MAX_VALUE_BYTES = 4_096;

    private static final String SOURCE = "store";

    private final Clock clock;
    private final LongSupplier nowMillis;
    private final CrashWatch crashes;

    /**
     * Creates the content.
     *
     * @param clock the time of day
     * @param nowMillis the current time, in milliseconds
     * @param crashes the requests that ended upstreams
     */
    CrashRecords(Clock clock, LongSupplier nowMillis, CrashWatch crashes) {
        this.clock = clock;
        this.nowMillis = nowMillis;
        this.crashes = crashes;
    }

    @Override
    public Optional<Set<RequestTrait>> absent() {
        return Optional.of(Set.of());
    }

    /** Returns the refused requests. */
    @Override
    public Optional<Set<RequestTrait>> current() {
        Set<RequestTrait> refused = new HashSet<>();
        crashes.ledger().refusedAsCause().forEach(report -> refused.add(report.request()));
        return Optional.of(refused);
    }

    @Override
    public byte[] encode(Set<RequestTrait> refused) {
        List<CrashReport> reports = crashes.ledger().refusedAsCause();
        byte[] encoded =
                CrashReportCodec.write(
                        reports, MAX_VALUE_BYTES - Long.BYTES, nowMillis.getAsLong());
        return ByteBuffer.allocate(Long.BYTES + encoded.length)
                .putLong(clock.millis())
                .put(encoded)
                .array();
    }

    @Override
    public boolean read(Optional<byte[]> value) throws IOException {
        if (value.isPresent() && value.get().length >= Long.BYTES) {
            ByteBuffer bytes = ByteBuffer.wrap(value.get());
            long age = Math.max(0, clock.millis() - bytes.getLong());
            CrashReportCodec.read(bytes, nowMillis.getAsLong() - age)
                    .forEach(report -> crashes.receiveReport(SOURCE, report));
        }
        return true;
    }
}
