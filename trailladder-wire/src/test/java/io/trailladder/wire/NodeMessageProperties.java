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
package io.trailladder.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.core.duty.UsageCount;
import io.trailladder.core.engine.EngineEvidence;
import io.trailladder.core.engine.FitSums;
import io.trailladder.core.rollout.AnswerCount;
import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutPhase;
import io.trailladder.core.rollout.RolloutUpdate;
import io.trailladder.core.rollout.RouteEvidence;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.core.upstream.UpstreamUse;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.OrganisationUse;
import io.trailladder.wire.NodeMessage.RegionDigest;
import io.trailladder.wire.NodeMessage.RelayData;
import io.trailladder.wire.NodeMessage.RelayEnd;
import io.trailladder.wire.NodeMessage.RelayOpened;
import io.trailladder.wire.NodeMessage.RelayRefused;
import io.trailladder.wire.NodeMessage.RelayRequest;
import io.trailladder.wire.NodeMessage.RolloutReport;
import io.trailladder.wire.NodeMessage.Snapshot;
import io.trailladder.wire.NodeMessage.SnapshotRequest;
import io.trailladder.wire.NodeMessage.StreamNews;
import io.trailladder.wire.NodeMessage.StreamQuery;
import io.trailladder.wire.NodeMessage.StreamReply;
import io.trailladder.wire.NodeMessage.StreamSent;
import io.trailladder.wire.NodeMessage.UnitsGrant;
import io.trailladder.wire.NodeMessage.UnitsRequest;
import io.trailladder.wire.NodeMessage.UnitsReturn;
import io.trailladder.wire.NodeMessage.UpstreamEntry;
import io.trailladder.wire.NodeMessage.UpstreamUpdate;
import io.trailladder.wire.NodeMessage.UsageHistory;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Messages between gateways are decoded as they were encoded, and invalid bytes cause nothing but a
 * {@link WireException}.
 */
class NodeMessageProperties {
    private static final int FIRST_TYPE = 29;
    private static final int LAST_TYPE = 46;

    private static NodeDigest digest(long version, double figure, String name) {
        FitSums sums = new FitSums(1, figure, 2, 3, 4);
        return new NodeDigest(
                version,
                2,
                true,
                false,
                DigestScope.REST,
                3,
                4,
                List.of(new UsageHistory(name, List.of(new UsageCount(5, "t", 6)))),
                List.of(new OrganisationUse("t", figure, 7, 8)),
                List.of(new UpstreamUse(name, 9, 10)),
                List.of(new ServiceDemand("s", figure, 11)),
                List.of(new EngineEvidence("s", sums, FitSums.NONE, 12, figure)),
                List.of("left", name),
                List.of());
    }

    private static PeerMessage roundTrip(PeerMessage message) {
        byte[] frame = PeerCodec.encode(message);
        return PeerCodec.decode(frame, PeerCodec.LENGTH_BYTES, frame.length);
    }

    @Property(tries = 500, seed = "20261202")
    void digestsComeBackUnchanged(
            @ForAll long version, @ForAll double figure, @ForAll String name) {
        NodeDigest digest = digest(version, figure, name);
        assertEquals(digest, roundTrip(digest));
    }

    @Property(tries = 300, seed = "20261202")
    void sectionsComeBackUnchanged(
            @ForAll String name, @ForAll int version, @ForAll long age, @ForAll byte[] body) {
        DigestSection section = new DigestSection(name, version, age, body);
        NodeDigest back = (NodeDigest) roundTrip(withSections(List.of(section, section)));
        assertEquals(2, back.sections().size());
        assertEquals(name, back.sections().get(1).name());
        assertEquals(version, back.sections().get(1).version());
        assertEquals(age, back.sections().get(1).ageMillis());
        assertArrayEquals(body, back.sections().get(1).body());
    }

    @Example
    void fieldsThatALaterVersionAddsArePassedOver() throws IOException {
        NodeDigest digest = digest(77, 1.5, "w");
        byte[] today = NodePacker.pack(digest);
        byte[] later = Arrays.copyOf(today, today.length + 1);
        later[0] = (byte) (later[0] + 1);
        later[today.length] = 1;
        assertEquals(digest, NodeUnpacker.unpack(MessageType.NODE_DIGEST, later, 0, later.length));
    }

    private static NodeDigest withSections(List<DigestSection> sections) {
        return new NodeDigest(
                1,
                2,
                true,
                false,
                DigestScope.OWN,
                1,
                1,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                sections);
    }

    @Example
    void otherMessagesComeBackUnchanged() {
        NodeHello hello = new NodeHello("n", "i", "z", "127.0.0.1:1");
        assertEquals(hello, roundTrip(hello));
        UnitsRequest units = new UnitsRequest("t", 1.5, 2, 3.25);
        assertEquals(units, roundTrip(units));
        UnitsGrant grant = new UnitsGrant("t", 1.5, 200);
        assertEquals(grant, roundTrip(grant));
        UnitsReturn returned = new UnitsReturn("t", 0.5);
        assertEquals(returned, roundTrip(returned));
        SnapshotRequest request = new SnapshotRequest(Long.MAX_VALUE, 0);
        assertEquals(request, roundTrip(request));
        UsageHistory history = new UsageHistory("life", List.of());
        assertEquals(history, roundTrip(history));
        UpstreamUpdate update = new UpstreamUpdate(1, 2, new UpstreamEntry("w", new byte[] {1, 2}));
        UpstreamUpdate updateBack = (UpstreamUpdate) roundTrip(update);
        assertArrayEquals(update.upstream().value(), updateBack.upstream().value());
        Snapshot snapshot = new Snapshot(3, new byte[300], 4, List.of(update.upstream()));
        Snapshot snapshotBack = (Snapshot) roundTrip(snapshot);
        assertEquals(300, snapshotBack.policy().length);
        assertEquals("w", snapshotBack.upstreams().get(0).id());
    }

    @Property(tries = 300, seed = "20261203")
    void relayMessagesComeBackUnchanged(
            @ForAll String text,
            @ForAll long millis,
            @ForAll boolean orderly,
            @ForAll byte[] body) {
        for (NodeMessage message :
                List.of(
                        new RelayRequest(text, "u", text, millis, 1 - millis),
                        new RelayOpened(text),
                        new RelayRefused(text),
                        new RelayEnd(orderly))) {
            assertEquals(message, roundTrip(message));
        }
        RelayData data = (RelayData) roundTrip(new RelayData(body));
        assertArrayEquals(body, data.bytes());
    }

    @Property(tries = 300, seed = "20261205")
    void streamMessagesComeBackUnchanged(
            @ForAll long stream,
            @ForAll String version,
            @ForAll long plan,
            @ForAll boolean complete) {
        for (NodeMessage message :
                List.of(
                        new StreamQuery(stream),
                        new StreamReply(stream, version, plan, complete),
                        new StreamNews(StreamNews.Kind.ALL_UNPLANNED, List.of()),
                        new StreamNews(
                                StreamNews.Kind.UNPLANNED,
                                List.of(
                                        new StreamSent(stream, version, plan),
                                        new StreamSent(plan, "v", stream))))) {
            assertEquals(message, roundTrip(message));
        }
    }

    @Example
    void digestOfARegionComesBackUnchanged() {
        NodeHello origin = new NodeHello("n", "i", "z", "127.0.0.1:1");
        RegionDigest sent = new RegionDigest(true, "m", origin, digest(77, 1.5, "w"));
        RegionDigest back = (RegionDigest) roundTrip(sent);
        assertEquals(origin, back.origin());
        assertEquals(sent.represents(), back.represents());
        assertEquals("m", back.receivesFrom());
        assertArrayEquals(PeerCodec.encode(sent), PeerCodec.encode(back));
    }

    @Property(tries = 300, seed = "20261202")
    void reportsOfRolloutsComeBackUnchanged(
            @ForAll String name, @ForAll long number, @ForAll RolloutPhase phase) {
        RouteEvidence evidence =
                new RouteEvidence(name, new AnswerCount(9, 3, 5), new AnswerCount(8, 1, 2));
        RolloutOrder order = new RolloutOrder(name, "v2", 12_000, number);
        RolloutUpdate update = new RolloutUpdate(order, phase, -number, 7, List.of(evidence));
        RolloutReport report = new RolloutReport(List.of(update));
        assertEquals(report, roundTrip(report));
    }

    @Example
    void payloadIsAnArrayOfTheFieldsInOrder() throws IOException {
        ObjectMapper reader = new ObjectMapper(new MessagePackFactory());
        byte[] payload = NodePacker.pack(digest(77, 1.5, "w"));
        JsonNode fields = reader.readTree(payload);
        assertEquals(14, fields.size());
        assertEquals(77, fields.get(0).asLong());
        assertEquals("REST", fields.get(4).asText());
        assertEquals(1.5, fields.get(10).get(0).get(1).asDouble());
    }

    @Property(tries = 100_000, seed = "20261202")
    void randomPayloadIsDecodedOrRefused(
            @ForAll @IntRange(min = FIRST_TYPE, max = LAST_TYPE) int type,
            @ForAll @Size(max = 64) byte[] payload) {
        byte[] frame = new byte[payload.length + 2];
        frame[0] = PeerCodec.VERSION;
        frame[1] = (byte) type;
        System.arraycopy(payload, 0, frame, 2, payload.length);
        decodeOrRefuse(frame, 0);
    }

    @Property(tries = 20_000, seed = "20261202")
    void damagedDigestIsDecodedOrRefused(@ForAll int at, @ForAll byte value) {
        byte[] frame = PeerCodec.encode(digest(1, 2.5, "name"));
        int body = frame.length - PeerCodec.LENGTH_BYTES;
        frame[PeerCodec.LENGTH_BYTES + Math.floorMod(at, body)] = value;
        decodeOrRefuse(frame, PeerCodec.LENGTH_BYTES);
    }

    @Property(tries = 500, seed = "20261202")
    void cutDigestIsRefused(@ForAll @IntRange(min = 1, max = 100) int missing) {
        byte[] frame = PeerCodec.encode(digest(1, 2.5, "name"));
        byte[] cut = Arrays.copyOf(frame, frame.length - missing);
        assertThrows(
                WireException.class,
                () -> PeerCodec.decode(cut, PeerCodec.LENGTH_BYTES, cut.length));
    }

    @Example
    void announcedLengthBeyondTheMessageIsRefusedBeforeItIsTaken() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packArrayHeader(2).packString("life").packArrayHeader(Integer.MAX_VALUE);
        assertThrows(IOException.class, () -> unpack(packer.toByteArray()));
        MessageBufferPacker surplus = MessagePack.newDefaultBufferPacker();
        surplus.packArrayHeader(2).packString("life").packArrayHeader(0).packNil();
        assertThrows(IOException.class, () -> unpack(surplus.toByteArray()));
    }

    private static NodeMessage unpack(byte[] payload) throws IOException {
        return NodeUnpacker.unpack(MessageType.USAGE_HISTORY, payload, 0, payload.length);
    }

    private static void decodeOrRefuse(byte[] frame, int from) {
        try {
            PeerCodec.decode(frame, from, frame.length);
        } catch (WireException e) {
            // the only exception that invalid bytes may cause
        }
    }
}
