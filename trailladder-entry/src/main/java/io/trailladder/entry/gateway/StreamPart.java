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

import io.trailladder.core.upstream.StreamRecord;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Exchanges with peers of the build before at which version streams began. They identify a stream
 * by its attempt alone.
 */
final class StreamPart implements DigestPart {
    /** Maximum number of streams in one digest. */
    static final int MAX_STREAMS = 250;

    private static final int MAX_VERSIONS = 16;
    private static final int MAX_AGE_MILLIS = 10_000;

    /** How long the start of a stream is told, in milliseconds: several digests. */
    private static final long NEWS_MILLIS = 800;

    private final StreamVersions streams;
    private final BooleanSupplier needed;

    /**
     * Creates the part.
     *
     * @param streams the versions of streams
     * @param needed whether there are peers of that build
     */
    StreamPart(StreamVersions streams, BooleanSupplier needed) {
        this.streams = streams;
        this.needed = needed;
    }

    @Override
    public String name() {
        return "streams";
    }

    @Override
    public int version() {
        return 1;
    }

    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        if (!needed.getAsBoolean()) {
            return Optional.empty();
        }
        List<StreamRecord> begun = streams.begunSince(nowMillis - NEWS_MILLIS, nowMillis);
        List<StreamRecord> news =
                begun.subList(Math.max(0, begun.size() - MAX_STREAMS), begun.size());
        List<String> versions =
                news.stream().map(StreamRecord::version).distinct().limit(MAX_VERSIONS).toList();
        List<StreamRecord> written =
                news.stream().filter(each -> versions.contains(each.version())).toList();
        if (written.isEmpty()) {
            return Optional.empty();
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(versions.size());
            for (String version : versions) {
                out.writeUTF(version);
            }
            out.writeShort(written.size());
            for (StreamRecord stream : written) {
                out.writeLong(stream.attempt());
                out.writeByte(versions.indexOf(stream.version()));
                out.writeShort((int) stream.ageMillis());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Optional.of(new DigestSection(name(), version(), 0, bytes.toByteArray()));
    }

    @Override
    public void received(String peer, DigestSection section, long nowMillis) throws IOException {
        for (StreamRecord stream : read(section)) {
            streams.learned(stream.attempt(), stream.version());
        }
    }

    private static List<StreamRecord> read(DigestSection section) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(section.body()));
        int versionCount = in.readUnsignedByte();
        if (versionCount > MAX_VERSIONS) {
            throw new IOException(versionCount + " versions, expected at most " + MAX_VERSIONS);
        }
        List<String> versions = new ArrayList<>(versionCount);
        for (int i = 0; i < versionCount; i++) {
            versions.add(in.readUTF());
        }
        int count = in.readUnsignedShort();
        if (count > MAX_STREAMS) {
            throw new IOException(count + " streams, expected at most " + MAX_STREAMS);
        }
        List<StreamRecord> streams = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long attempt = in.readLong();
            int version = in.readUnsignedByte();
            long ageMillis = in.readUnsignedShort() + section.ageMillis();
            if (version >= versionCount || ageMillis > MAX_AGE_MILLIS) {
                throw new IOException(
                        "version "
                                + version
                                + " of "
                                + versionCount
                                + ", told "
                                + ageMillis
                                + " ms ago");
            }
            streams.add(new StreamRecord(attempt, versions.get(version), ageMillis));
        }
        return streams;
    }

    /** Keeps the records: they stay true when the peer does not respond. */
    @Override
    public void forget(String peer) {}
}
