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

import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.VersionRecord;
import io.trailladder.core.upstream.VersionStep;
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
 * The record of the versions that served each service lately, from which a process that starts
 * computes at which version streams began before.
 *
 * <p>The value names the epoch of the store in which it was written. In a later one it may lack the
 * latest changes, so it is read again until the leader has written it anew. Its times are times of
 * day on which the processes agree.
 */
final class VersionRecords implements StoreRecord.Content<VersionRecord> {
    /** Key of the record. */
    static final String KEY = "trailladder/record/versions";

    private static final int FORMAT = 2;
    private static final int MAX_ENTRIES = 10_000;
    private static final int MAX_VERSIONS = 100;

    /**
     * How long after its start a process waits for others before it trusts its own clock, in
     * milliseconds.
     */
    private static final long OWN_CLOCK_MILLIS = 2_000;

    private final StreamVersions streams;
    private final LongSupplier nowMillis;
    private final TimePart clock;
    private final LongSupplier epoch;
    private final long startedMillis;

    /** What was read, until its times are known on the clock of this process. */
    private Optional<VersionRecord> untimed = Optional.empty();

    /**
     * Creates the content.
     *
     * @param streams receives what was recorded before
     * @param nowMillis the current time, in milliseconds
     * @param clock the time of day on which the processes agree
     * @param epoch the current epoch of the store
     */
    VersionRecords(
            StreamVersions streams, LongSupplier nowMillis, TimePart clock, LongSupplier epoch) {
        this.streams = streams;
        this.nowMillis = nowMillis;
        this.clock = clock;
        this.epoch = epoch;
        this.startedMillis = nowMillis.getAsLong();
    }

    @Override
    public Optional<VersionRecord> current() {
        return streams.recent(nowMillis.getAsLong());
    }

    /**
     * Passes the record on with its times as soon as the processes agree on the time of day. To be
     * called several times a second.
     */
    void refresh() {
        if (untimed.isPresent() && isTimeKnown()) {
            VersionRecord record = untimed.get();
            untimed = Optional.empty();
            passOn(record, true);
        }
    }

    private boolean isTimeKnown() {
        return clock.isAgreed() || nowMillis.getAsLong() - startedMillis >= OWN_CLOCK_MILLIS;
    }

    private void passOn(VersionRecord record, boolean timesKnown) {
        long now = nowMillis.getAsLong();
        streams.recordedBefore(record.shifted(-clock.offsetMillis()), timesKnown, now);
    }

    @Override
    public byte[] encode(VersionRecord record) {
        VersionRecord byTimeOfDay = record.shifted(clock.offsetMillis());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            out.writeLong(epoch.getAsLong());
            out.writeLong(byTimeOfDay.validMillis());
            out.writeShort(byTimeOfDay.steps().size());
            for (Map.Entry<String, List<VersionStep>> service : byTimeOfDay.steps().entrySet()) {
                out.writeUTF(service.getKey());
                writeSteps(service.getValue(), out);
            }
            writeTimes(byTimeOfDay.longestWaits(), out);
            writeTimes(byTimeOfDay.silences(), out);
            out.writeShort(byTimeOfDay.streams().size());
            for (Map.Entry<Long, String> stream : byTimeOfDay.streams().entrySet()) {
                out.writeLong(stream.getKey());
                out.writeUTF(stream.getValue());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeSteps(List<VersionStep> steps, DataOutputStream out)
            throws IOException {
        out.writeShort(steps.size());
        for (VersionStep step : steps) {
            out.writeLong(step.sinceMillis());
            out.writeLong(step.fromMillis());
            out.writeBoolean(step.certain());
            writeSlots(step.listed(), out);
            writeSlots(step.admitted(), out);
        }
    }

    private static void writeSlots(Map<String, Integer> slots, DataOutputStream out)
            throws IOException {
        out.writeByte(slots.size());
        for (Map.Entry<String, Integer> version : slots.entrySet()) {
            out.writeUTF(version.getKey());
            out.writeInt(version.getValue());
        }
    }

    private static void writeTimes(Map<String, Long> times, DataOutputStream out)
            throws IOException {
        out.writeShort(times.size());
        for (Map.Entry<String, Long> entry : times.entrySet()) {
            out.writeUTF(entry.getKey());
            out.writeLong(entry.getValue());
        }
    }

    @Override
    public boolean read(Optional<byte[]> value) throws IOException {
        if (streams.isEarlierKnown()) {
            return true;
        }
        if (value.isEmpty()) {
            streams.notRecordedBefore();
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
        VersionRecord record = readRecord(in);
        untimed = Optional.of(record);
        passOn(record, false);
        refresh();
        return true;
    }

    private static VersionRecord readRecord(DataInputStream in) throws IOException {
        long validMillis = in.readLong();
        int services = readCount(in, MAX_ENTRIES, "services");
        Map<String, List<VersionStep>> steps = new HashMap<>();
        for (int i = 0; i < services; i++) {
            steps.put(in.readUTF(), readSteps(in));
        }
        Map<String, Long> longestWaits = readTimes(in);
        Map<String, Long> silences = readTimes(in);
        int count = readCount(in, MAX_ENTRIES, "streams");
        Map<Long, String> streams = new HashMap<>();
        for (int i = 0; i < count; i++) {
            streams.put(in.readLong(), in.readUTF());
        }
        return new VersionRecord(validMillis, steps, longestWaits, silences, streams);
    }

    private static List<VersionStep> readSteps(DataInputStream in) throws IOException {
        int count = readCount(in, MAX_ENTRIES, "steps");
        List<VersionStep> steps = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            steps.add(
                    new VersionStep(
                            in.readLong(),
                            in.readLong(),
                            in.readBoolean(),
                            readSlots(in),
                            readSlots(in)));
        }
        return steps;
    }

    private static Map<String, Integer> readSlots(DataInputStream in) throws IOException {
        int count = checkedCount(in.readUnsignedByte(), MAX_VERSIONS, "versions");
        Map<String, Integer> slots = new HashMap<>();
        for (int i = 0; i < count; i++) {
            slots.put(in.readUTF(), in.readInt());
        }
        return slots;
    }

    private static Map<String, Long> readTimes(DataInputStream in) throws IOException {
        int count = readCount(in, MAX_ENTRIES, "times");
        Map<String, Long> times = new HashMap<>();
        for (int i = 0; i < count; i++) {
            times.put(in.readUTF(), in.readLong());
        }
        return times;
    }

    private static int readCount(DataInputStream in, int max, String what) throws IOException {
        return checkedCount(in.readUnsignedShort(), max, what);
    }

    private static int checkedCount(int count, int max, String what) throws IOException {
        if (count > max) {
            throw new IOException(count + " " + what + ", expected at most " + max);
        }
        return count;
    }
}
