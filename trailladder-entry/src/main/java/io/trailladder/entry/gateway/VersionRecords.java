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

import io.trailladder.core.upstream.RecordTimes;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.VersionPlan;
import io.trailladder.core.upstream.VersionRecord;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The record of the plans by which processes assign streams to versions, and of streams that began
 * at other versions. A process reads it when it starts and when others have ended.
 *
 * <p>The value names the epoch of the store in which it was written. In a later one it may lack the
 * latest changes, so it is read again until the leader has written it anew.
 */
final class VersionRecords implements StoreRecord.Content<VersionRecord> {
    /** Key of the record. */
    static final String KEY = "trailladder/record/versions";

    /** How often the leader checks for changes to record, in milliseconds. */
    static final long WRITE_CHECK_INTERVAL_MILLIS = 40;

    /** How often it checks whether a new plan is needed, in milliseconds. */
    private static final long PLAN_CHECK_INTERVAL_MILLIS = 200;

    /** Maximum number of bytes that are written per millisecond while no plan changes. */
    private static final int MAX_BYTES_PER_MILLI = 64;

    /** The same while streams are left out, so that nothing follows from the plans anyway. */
    private static final int MIN_BYTES_PER_MILLI = 4;

    private static final int FORMAT = 4;
    private static final int MAX_ENTRIES = 10_000;

    private final StreamVersions streams;
    private final LongSupplier nowMillis;
    private final LongSupplier epoch;
    private final Runnable onPlan;

    private long readBeganMillis;
    private long checkMillis = Long.MIN_VALUE;
    private long checkedChanges = -1;

    /** When streams may be recorded again, in milliseconds. */
    private long nextMillis = Long.MIN_VALUE;

    /**
     * Creates the content.
     *
     * @param streams receives what was recorded
     * @param nowMillis the current time, in milliseconds
     * @param epoch the current epoch of the store
     * @param onPlan tells the other processes of a new plan at once
     */
    VersionRecords(
            StreamVersions streams, LongSupplier nowMillis, LongSupplier epoch, Runnable onPlan) {
        this.streams = streams;
        this.nowMillis = nowMillis;
        this.epoch = epoch;
        this.onPlan = onPlan;
    }

    @Override
    public Optional<VersionRecord> current() {
        long now = nowMillis.getAsLong();
        boolean due = now >= checkMillis || streams.record().changes() != checkedChanges;
        if (!due) {
            return Optional.empty();
        }
        checkMillis = now + PLAN_CHECK_INTERVAL_MILLIS;
        Optional<VersionRecord> record = streams.record().next(now);
        if (record.isPresent() && now < nextMillis && !isNewPlan(record.get())) {
            return Optional.empty();
        }
        checkedChanges = streams.record().changes();
        return record;
    }

    private boolean isNewPlan(VersionRecord record) {
        int latest = record.plans().size() - 1;
        return record.plans().get(latest).number() > streams.plans().current().number();
    }

    @Override
    public void written(VersionRecord record) {
        long before = streams.plans().current().number();
        streams.record().written(record, nowMillis.getAsLong());
        if (streams.plans().current().number() > before) {
            checkMillis = nowMillis.getAsLong();
            onPlan.run();
        }
    }

    @Override
    public byte[] encode(VersionRecord record) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            out.writeLong(epoch.getAsLong());
            out.writeLong(record.oldestNumber());
            out.writeLong(record.silentNumber());
            writePlans(record.plans(), out);
            RecordTimes times = streams.record().times(nowMillis.getAsLong());
            out.writeShort(times.plans().size());
            for (Map.Entry<Long, Long> plan : times.plans().entrySet()) {
                out.writeLong(plan.getKey());
                writeLeft(plan.getValue(), out);
            }
            out.writeShort(times.silent().size());
            for (Map.Entry<Long, Long> silent : times.silent().entrySet()) {
                out.writeLong(silent.getKey());
                out.writeInt(silent.getValue().intValue());
            }
            writeStreams(record.streams(), times.streams(), out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        boolean complete = record.oldestNumber() > 0;
        int bytesPerMilli = complete ? MAX_BYTES_PER_MILLI : MIN_BYTES_PER_MILLI;
        nextMillis = nowMillis.getAsLong() + bytes.size() / bytesPerMilli;
        return bytes.toByteArray();
    }

    private static void writeStreams(
            Map<Long, String> streams, Map<Long, Long> left, DataOutputStream out)
            throws IOException {
        List<String> versions = streams.values().stream().distinct().toList();
        out.writeShort(versions.size());
        for (String version : versions) {
            out.writeUTF(version);
        }
        Map<String, Integer> indexes = new HashMap<>();
        versions.forEach(version -> indexes.put(version, indexes.size()));
        out.writeShort(streams.size());
        for (Map.Entry<Long, String> stream : streams.entrySet()) {
            out.writeLong(stream.getKey());
            out.writeShort(indexes.get(stream.getValue()));
            writeLeft(left.getOrDefault(stream.getKey(), 0L), out);
        }
    }

    private static void writeLeft(long millis, DataOutputStream out) throws IOException {
        out.writeShort((int) Math.max(0, Math.min(StreamVersions.MAX_AGE_MILLIS, millis)));
    }

    /** Writes the first plan, and of each further one what changed since the one before. */
    private static void writePlans(List<VersionPlan> plans, DataOutputStream out)
            throws IOException {
        out.writeLong(plans.get(0).number());
        out.writeShort(plans.size());
        VersionPlan before = VersionPlan.NONE;
        for (VersionPlan plan : plans) {
            PlanFormat.write(plan.changesSince(before), out);
            before = plan;
        }
    }

    @Override
    public void readBegins() {
        readBeganMillis = nowMillis.getAsLong();
    }

    @Override
    public boolean read(Optional<byte[]> value) throws IOException {
        if (value.isEmpty()) {
            streams.record().nothingRead(readBeganMillis);
            return true;
        }
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(value.get()));
        int format = in.readUnsignedByte();
        if (format != FORMAT) {
            throw new IOException("format " + format + ", expected " + FORMAT);
        }
        if (in.readLong() != epoch.getAsLong()) {
            return false;
        }
        readRecord(in);
        return true;
    }

    private void readRecord(DataInputStream in) throws IOException {
        long oldestNumber = in.readLong();
        long silentNumber = in.readLong();
        List<VersionPlan> plans = readPlans(in);
        int planCount = PlanFormat.readCount(in, MAX_ENTRIES, "held plans");
        Map<Long, Long> held = new HashMap<>();
        for (int i = 0; i < planCount; i++) {
            held.put(in.readLong(), readLeft(in));
        }
        int silentCount = PlanFormat.readCount(in, MAX_ENTRIES, "silent processes' plans");
        Map<Long, Long> silent = new HashMap<>();
        for (int i = 0; i < silentCount; i++) {
            silent.put(in.readLong(), (long) in.readInt());
        }
        int versionCount = PlanFormat.readCount(in, MAX_ENTRIES, "versions");
        List<String> versions = new ArrayList<>(versionCount);
        for (int i = 0; i < versionCount; i++) {
            versions.add(in.readUTF());
        }
        int count = PlanFormat.readCount(in, MAX_ENTRIES, "streams");
        Map<Long, String> recorded = new HashMap<>();
        Map<Long, Long> left = new HashMap<>();
        for (int i = 0; i < count; i++) {
            long stream = in.readLong();
            int version = in.readUnsignedShort();
            if (version >= versionCount) {
                throw new IOException("version " + version + ", expected below " + versionCount);
            }
            recorded.put(stream, versions.get(version));
            left.put(stream, readLeft(in));
        }
        streams.record()
                .read(
                        new VersionRecord(oldestNumber, plans, silentNumber, recorded),
                        new RecordTimes(held, silent, left),
                        readBeganMillis,
                        nowMillis.getAsLong());
    }

    private static long readLeft(DataInputStream in) throws IOException {
        return Math.min(StreamVersions.MAX_AGE_MILLIS, in.readUnsignedShort());
    }

    private static List<VersionPlan> readPlans(DataInputStream in) throws IOException {
        long number = in.readLong();
        int count = PlanFormat.readCount(in, MAX_ENTRIES, "plans");
        if (count == 0 || number <= 0) {
            throw new IOException(count + " plans from " + number + ", expected one from 1 on");
        }
        VersionPlan plan = new VersionPlan(number - 1, Map.of());
        List<VersionPlan> plans = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            plan = plan.next(PlanFormat.read(in));
            plans.add(plan);
        }
        return plans;
    }
}
