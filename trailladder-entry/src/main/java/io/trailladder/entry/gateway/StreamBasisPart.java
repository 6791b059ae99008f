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
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Tells peers what they need to compute the versions of streams as this process does: how long
 * callers of each route wait, which peers are silent, and since when this process may lack changes
 * of the list of upstreams. Sent only when there is something to tell.
 */
final class StreamBasisPart implements DigestPart {
    private static final int MAX_ENTRIES = 60;
    private static final int MAX_AGE_MILLIS = 3_600_000;
    private static final int MAX_NAME_LENGTH = 60;

    private final StreamVersions streams;
    private final Predicate<String> feeds;

    /**
     * Creates the part.
     *
     * @param streams the versions of streams
     * @param feeds whether a peer forwards changes of the list of upstreams to this process
     */
    StreamBasisPart(StreamVersions streams, Predicate<String> feeds) {
        this.streams = streams;
        this.feeds = feeds;
    }

    @Override
    public String name() {
        return "stream-basis";
    }

    @Override
    public int version() {
        return 1;
    }

    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        Map<String, Integer> waits = new HashMap<>();
        streams.newWaits(nowMillis)
                .forEach((route, wait) -> waits.put(route, Math.toIntExact(wait)));
        Map<String, Integer> silences = new HashMap<>();
        streams.silences(nowMillis)
                .forEach((peer, since) -> silences.put(peer, age(since, nowMillis)));
        int outdatedMillis = age(streams.listCurrentUntilMillis(nowMillis), nowMillis);
        if (waits.isEmpty() && silences.isEmpty() && outdatedMillis == 0) {
            return Optional.empty();
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(outdatedMillis);
            write(waits, out);
            write(silences, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Optional.of(new DigestSection(name(), version(), 0, bytes.toByteArray()));
    }

    private static int age(long sinceMillis, long nowMillis) {
        return (int) Math.max(0, Math.min(MAX_AGE_MILLIS, nowMillis - sinceMillis));
    }

    private static void write(Map<String, Integer> entries, DataOutputStream out)
            throws IOException {
        List<Map.Entry<String, Integer>> written =
                entries.entrySet().stream()
                        .filter(entry -> entry.getKey().length() <= MAX_NAME_LENGTH)
                        .limit(MAX_ENTRIES / 2)
                        .toList();
        out.writeByte(written.size());
        for (Map.Entry<String, Integer> entry : written) {
            out.writeUTF(entry.getKey());
            out.writeInt(entry.getValue());
        }
    }

    @Override
    public void received(String peer, DigestSection section, long nowMillis) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(section.body()));
        int outdatedMillis = in.readInt();
        Map<String, Integer> waits = read(in);
        Map<String, Integer> silences = read(in);
        long toldMillis = nowMillis - section.ageMillis();
        waits.forEach((route, wait) -> streams.learnedWait(route, wait, nowMillis));
        silences.forEach(
                (silent, age) -> streams.learnedSilence(silent, toldMillis - age, nowMillis));
        if (outdatedMillis > 0) {
            streams.peerOutdated(peer, toldMillis - outdatedMillis, nowMillis);
            if (feeds.test(peer)) {
                streams.feederOutdated(toldMillis - outdatedMillis, nowMillis);
            }
        }
    }

    private static Map<String, Integer> read(DataInputStream in) throws IOException {
        int count = in.readUnsignedByte();
        if (count > MAX_ENTRIES) {
            throw new IOException(count + " entries, expected at most " + MAX_ENTRIES);
        }
        Map<String, Integer> entries = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String name = in.readUTF();
            int millis = in.readInt();
            if (millis < 0 || millis > MAX_AGE_MILLIS) {
                throw new IOException(
                        millis + " ms for " + name + ", expected 0 to " + MAX_AGE_MILLIS + " ms");
            }
            entries.put(name, millis);
        }
        return entries;
    }

    @Override
    public void linked(String peer, long nowMillis) {
        streams.peerLinked(nowMillis);
    }

    @Override
    public void heard(String peer, long nowMillis) {
        streams.peerHeard(peer, nowMillis);
    }

    @Override
    public void silent(String peer, long sinceMillis) {
        streams.peerSilent(peer, sinceMillis);
    }

    /** Keeps what the peer told: it is also true when its figures arrive on another path. */
    @Override
    public void forget(String peer) {}
}
