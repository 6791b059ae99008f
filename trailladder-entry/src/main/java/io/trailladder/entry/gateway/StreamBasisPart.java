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

import io.trailladder.core.upstream.PlanNews;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Tells peers what they need to know the versions of streams: by which plan this process assigns
 * them, which peers are silent, and since when this process may lack changes of the list of
 * upstreams.
 */
final class StreamBasisPart implements DigestPart {
    private static final int MAX_ENTRIES = 60;

    /** Maximum size of what is told of a plan; a peer reads a larger one in the store, in bytes. */
    private static final int MAX_NEWS_BYTES = 3_000;

    private static final int MAX_AGE_MILLIS = 3_600_000;
    private static final int MAX_NAME_LENGTH = 60;

    private final StreamVersions streams;
    private final StreamTelling telling;
    private final Predicate<String> feeds;
    private final Predicate<String> isLinked;
    private final LongSupplier nowMillis;

    /** Peers that assign streams by plans. */
    private final Set<String> planners = new HashSet<>();

    /**
     * Creates the part.
     *
     * @param streams the versions of streams
     * @param telling tells peers what they must know before the statements of this process
     * @param feeds whether a peer forwards changes of the list of upstreams to this process
     * @param isLinked whether a peer is linked, so that it tells what must be known before its own
     * @param nowMillis the current time, in milliseconds
     */
    StreamBasisPart(
            StreamVersions streams,
            StreamTelling telling,
            Predicate<String> feeds,
            Predicate<String> isLinked,
            LongSupplier nowMillis) {
        this.streams = streams;
        this.telling = telling;
        this.feeds = feeds;
        this.isLinked = isLinked;
        this.nowMillis = nowMillis;
    }

    @Override
    public String name() {
        return "stream-basis";
    }

    @Override
    public int version() {
        return 2;
    }

    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        Map<String, Integer> silences = new HashMap<>();
        streams.list()
                .silences(nowMillis)
                .forEach((peer, since) -> silences.put(peer, age(since, nowMillis)));
        int outdatedMillis = age(streams.list().statedUntilMillis(nowMillis), nowMillis);
        telling.tellAll();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(streams.usedNumber(peers, !telling.isFullMesh(), nowMillis));
            out.writeLong(streams.plans().current().number());
            byte[] news = planNews(nowMillis);
            out.writeShort(news.length);
            out.write(news);
            out.writeInt(outdatedMillis);
            write(silences, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Optional.of(new DigestSection(name(), version(), 0, bytes.toByteArray()));
    }

    /** Returns what is told of a plan that others may lack; nothing if it is too much. */
    private byte[] planNews(long nowMillis) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Optional<PlanNews> news = streams.plans().news(nowMillis);
        if (news.isPresent()) {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(news.get().baseNumber());
            PlanFormat.write(news.get().changes(), out);
        }
        return bytes.size() > MAX_NEWS_BYTES ? new byte[0] : bytes.toByteArray();
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
        long usedNumber = in.readLong();
        long planNumber = in.readLong();
        if (usedNumber < StreamVersions.NO_STATEMENT || planNumber < usedNumber) {
            throw new IOException(
                    "plans " + usedNumber + " to " + planNumber + ", expected rising numbers");
        }
        Optional<PlanNews> news = readPlanNews(in);
        int outdatedMillis = in.readInt();
        Map<String, Integer> silences = read(in);
        long toldMillis = nowMillis - section.ageMillis();
        streams.plans().told(planNumber, news, nowMillis);
        streams.peerPlans(peer);
        if (planners.add(peer)) {
            telling.introduce(peer);
        }
        if (telling.isIntroduced(peer) || !isLinked.test(peer)) {
            streams.planUsed(peer, usedNumber, nowMillis);
        }
        silences.forEach(
                (silent, age) ->
                        streams.list().learnedSilence(silent, toldMillis - age, nowMillis));
        if (outdatedMillis > 0) {
            streams.list().peerOutdated(peer, toldMillis - outdatedMillis, nowMillis);
            if (feeds.test(peer)) {
                streams.list().feederOutdated(toldMillis - outdatedMillis, nowMillis);
            }
        }
    }

    private static Optional<PlanNews> readPlanNews(DataInputStream in) throws IOException {
        int length = in.readUnsignedShort();
        if (length == 0) {
            return Optional.empty();
        }
        DataInputStream news = new DataInputStream(new ByteArrayInputStream(in.readNBytes(length)));
        return Optional.of(new PlanNews(news.readLong(), PlanFormat.read(news)));
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
        planners.remove(peer);
        telling.linkChanged(peer);
        streams.peerLinked(peer, nowMillis);
    }

    @Override
    public void heard(String peer, long nowMillis) {
        streams.peerHeard(peer, nowMillis);
    }

    @Override
    public void silent(String peer, long sinceMillis) {
        streams.peerSilent(peer, sinceMillis);
    }

    /** Keeps the silences that the peer told: they also hold when its figures take another path. */
    @Override
    public void forget(String peer) {
        planners.remove(peer);
        telling.linkChanged(peer);
        streams.peerRemoved(peer, this.nowMillis.getAsLong());
    }

    /** Returns whether a peer assigns streams by plans, so that it can be asked and told. */
    boolean plans(String peer) {
        return planners.contains(peer);
    }
}
