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
import io.trailladder.core.upstream.VersionRange;
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
 * latest changes, so it is read again until the leader has written it anew.
 */
final class VersionRecords implements StoreRecord.Content<Map<String, List<VersionRange>>> {
    /** Key of the record. */
    static final String KEY = "trailladder/record/versions";

    private static final int FORMAT = 1;
    private static final int MAX_SERVICES = 10_000;
    private static final int MAX_VERSIONS = 100;

    private final StreamVersions streams;
    private final LongSupplier nowMillis;
    private final LongSupplier epoch;

    /**
     * Creates the content.
     *
     * @param streams receives what was recorded before
     * @param nowMillis the current time, in milliseconds
     * @param epoch the current epoch of the store
     */
    VersionRecords(StreamVersions streams, LongSupplier nowMillis, LongSupplier epoch) {
        this.streams = streams;
        this.nowMillis = nowMillis;
        this.epoch = epoch;
    }

    @Override
    public Optional<Map<String, List<VersionRange>>> current() {
        return streams.recent(nowMillis.getAsLong());
    }

    @Override
    public byte[] encode(Map<String, List<VersionRange>> services) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            out.writeLong(epoch.getAsLong());
            out.writeShort(services.size());
            for (Map.Entry<String, List<VersionRange>> service : services.entrySet()) {
                out.writeUTF(service.getKey());
                out.writeByte(service.getValue().size());
                for (VersionRange range : service.getValue()) {
                    out.writeUTF(range.version());
                    out.writeInt(range.leastSlots());
                    out.writeInt(range.mostSlots());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
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
        streams.recordedBefore(readServices(in));
        return true;
    }

    private static Map<String, List<VersionRange>> readServices(DataInputStream in)
            throws IOException {
        int count = checkedCount(in.readUnsignedShort(), MAX_SERVICES, "services");
        Map<String, List<VersionRange>> services = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String service = in.readUTF();
            int versions = checkedCount(in.readUnsignedByte(), MAX_VERSIONS, "versions");
            List<VersionRange> ranges = new ArrayList<>(versions);
            for (int j = 0; j < versions; j++) {
                ranges.add(new VersionRange(in.readUTF(), in.readInt(), in.readInt()));
            }
            services.put(service, ranges);
        }
        return services;
    }

    private static int checkedCount(int count, int max, String what) throws IOException {
        if (count > max) {
            throw new IOException(count + " " + what + ", expected at most " + max);
        }
        return count;
    }
}
