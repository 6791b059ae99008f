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
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Decodes what {@link NodePacker} encodes. Invalid bytes from an unknown sender cause an exception,
 * and no allocation beyond a small multiple of their length.
 */
final class NodeUnpacker {
    private final MessageUnpacker unpacker;
    private final int length;

    /** Reads one element of a list. */
    private interface PartReader<T> {
        T read() throws IOException;
    }

    private NodeUnpacker(byte[] bytes, int from, int length) {
        this.unpacker = MessagePack.newDefaultUnpacker(bytes, from, length);
        this.length = length;
    }

    /**
     * Returns whether this class decodes a type of message.
     *
     * @param type the type
     * @return true for messages between gateways
     */
    static boolean canRead(MessageType type) {
        return NodeMessage.class.isAssignableFrom(type.messageClass());
    }

    /**
     * Decodes a message.
     *
     * @param type its type, one for which {@link #canRead} returns true
     * @param bytes an array that contains the payload
     * @param from index of its first byte
     * @param length its length in bytes
     * @return the message
     * @throws IOException if the bytes are not a message of this type
     */
    static NodeMessage unpack(MessageType type, byte[] bytes, int from, int length)
            throws IOException {
        NodeUnpacker self = new NodeUnpacker(bytes, from, length);
        NodeMessage message = self.message(type);
        if (self.unpacker.hasNext()) {
            throw new IOException("message is followed by surplus bytes, expected none");
        }
        return message;
    }

    private NodeMessage message(MessageType type) throws IOException {
        return switch (type) {
            case NODE_HELLO -> hello();
            case NODE_DIGEST -> digest();
            case USAGE_HISTORY -> usageHistory();
            case SNAPSHOT_ASK -> snapshotRequest();
            case UPSTREAM_NEWS -> upstreamUpdate();
            case SNAPSHOT -> snapshot();
            case ROLLOUT_REPORT -> rolloutReport();
            case REGION_DIGEST -> regionDigest();
            case UNITS_ASK -> unitsRequest();
            case UNITS_GRANT -> unitsGrant();
            case UNITS_RETURN -> unitsReturn();
            case STREAM_QUERY -> streamQuery();
            case STREAM_REPLY -> streamReply();
            case STREAM_NEWS -> streamNews();
            case RELAY_REQUEST -> relayRequest();
            case RELAY_OPENED -> relayOpened();
            case RELAY_REFUSED -> relayRefused();
            case RELAY_DATA -> relayData();
            case RELAY_END -> relayEnd();
            default -> throw new IOException(type + " is not a message between gateways");
        };
    }

    private UnitsRequest unitsRequest() throws IOException {
        fields(4);
        return new UnitsRequest(text(), decimal(), decimal(), decimal());
    }

    private UnitsGrant unitsGrant() throws IOException {
        fields(3);
        return new UnitsGrant(text(), decimal(), number());
    }

    private UnitsReturn unitsReturn() throws IOException {
        fields(2);
        return new UnitsReturn(text(), decimal());
    }

    private StreamQuery streamQuery() throws IOException {
        return extensible(1, () -> new StreamQuery(number()));
    }

    private StreamReply streamReply() throws IOException {
        return extensible(4, () -> new StreamReply(number(), text(), number(), flag()));
    }

    private StreamNews streamNews() throws IOException {
        return extensible(2, () -> new StreamNews(newsKind(), list(this::streamSent)));
    }

    private StreamNews.Kind newsKind() throws IOException {
        long number = number();
        for (StreamNews.Kind kind : StreamNews.Kind.values()) {
            if (kind.number() == number) {
                return kind;
            }
        }
        throw new IOException("kind " + number + ", expected a known one");
    }

    private StreamSent streamSent() throws IOException {
        return extensible(3, () -> new StreamSent(number(), text(), number()));
    }

    private RelayRequest relayRequest() throws IOException {
        return extensible(5, () -> new RelayRequest(text(), text(), text(), number(), number()));
    }

    private RelayOpened relayOpened() throws IOException {
        return extensible(1, () -> new RelayOpened(text()));
    }

    private RelayRefused relayRefused() throws IOException {
        return extensible(1, () -> new RelayRefused(text()));
    }

    private RelayData relayData() throws IOException {
        fields(1);
        return new RelayData(bytes());
    }

    private RelayEnd relayEnd() throws IOException {
        return extensible(1, () -> new RelayEnd(flag()));
    }

    private RegionDigest regionDigest() throws IOException {
        fields(4);
        return new RegionDigest(flag(), text(), hello(), digest());
    }

    private NodeHello hello() throws IOException {
        fields(4);
        return new NodeHello(text(), text(), text(), text());
    }

    private NodeDigest digest() throws IOException {
        return extensible(14, this::digestFields);
    }

    private NodeDigest digestFields() throws IOException {
        return new NodeDigest(
                number(),
                number(),
                flag(),
                flag(),
                scope(),
                smallNumber(),
                smallNumber(),
                list(this::usageHistory),
                list(this::organisationUse),
                list(this::upstreamUse),
                list(this::demand),
                list(this::evidence),
                list(this::text),
                list(this::section));
    }

    private DigestSection section() throws IOException {
        fields(4);
        return new DigestSection(text(), smallNumber(), number(), bytes());
    }

    private DigestScope scope() throws IOException {
        String name = text();
        try {
            return DigestScope.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new IOException("unknown scope of a digest: " + name, e);
        }
    }

    private SnapshotRequest snapshotRequest() throws IOException {
        fields(2);
        return new SnapshotRequest(number(), number());
    }

    private UpstreamUpdate upstreamUpdate() throws IOException {
        fields(3);
        return new UpstreamUpdate(number(), number(), upstreamEntry());
    }

    private Snapshot snapshot() throws IOException {
        fields(4);
        return new Snapshot(number(), bytes(), number(), list(this::upstreamEntry));
    }

    private UsageHistory usageHistory() throws IOException {
        fields(2);
        return new UsageHistory(text(), list(this::usageCount));
    }

    private UsageCount usageCount() throws IOException {
        fields(3);
        return new UsageCount(number(), text(), smallNumber());
    }

    private OrganisationUse organisationUse() throws IOException {
        fields(4);
        return new OrganisationUse(text(), decimal(), decimal(), decimal());
    }

    private UpstreamUse upstreamUse() throws IOException {
        fields(3);
        return new UpstreamUse(text(), smallNumber(), smallNumber());
    }

    private ServiceDemand demand() throws IOException {
        fields(3);
        return new ServiceDemand(text(), decimal(), decimal());
    }

    private EngineEvidence evidence() throws IOException {
        fields(5);
        return new EngineEvidence(text(), fitSums(), fitSums(), decimal(), decimal());
    }

    private FitSums fitSums() throws IOException {
        fields(5);
        return new FitSums(decimal(), decimal(), decimal(), decimal(), decimal());
    }

    private RolloutReport rolloutReport() throws IOException {
        fields(1);
        return new RolloutReport(list(this::rollout));
    }

    private RolloutUpdate rollout() throws IOException {
        fields(8);
        RolloutOrder order = new RolloutOrder(text(), text(), number(), number());
        return new RolloutUpdate(order, phase(), number(), number(), list(this::routeEvidence));
    }

    private RolloutPhase phase() throws IOException {
        String name = text();
        try {
            return RolloutPhase.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new IOException("unknown phase of a roll-out: " + name, e);
        }
    }

    private RouteEvidence routeEvidence() throws IOException {
        fields(7);
        return new RouteEvidence(text(), answerCount(), answerCount());
    }

    private AnswerCount answerCount() throws IOException {
        return new AnswerCount(smallNumber(), smallNumber(), smallNumber());
    }

    private UpstreamEntry upstreamEntry() throws IOException {
        fields(2);
        return new UpstreamEntry(text(), bytes());
    }

    /** Reads an array that a later version may extend by more fields, which are skipped. */
    private <T> T extensible(int expected, PartReader<T> reader) throws IOException {
        int found = unpacker.unpackArrayHeader();
        if (found < expected) {
            throw new IOException(found + " fields, expected at least " + expected);
        }
        int surplus = checkedSize(found - expected);
        T message = reader.read();
        unpacker.skipValue(surplus);
        return message;
    }

    private void fields(int expected) throws IOException {
        int found = unpacker.unpackArrayHeader();
        if (found != expected) {
            throw new IOException(found + " fields, expected " + expected);
        }
    }

    private <T> List<T> list(PartReader<T> reader) throws IOException {
        int size = checkedSize(unpacker.unpackArrayHeader());
        List<T> elements = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            elements.add(reader.read());
        }
        return elements;
    }

    private long number() throws IOException {
        return unpacker.unpackLong();
    }

    private int smallNumber() throws IOException {
        return unpacker.unpackInt();
    }

    private double decimal() throws IOException {
        return unpacker.unpackDouble();
    }

    private boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    private String text() throws IOException {
        return unpacker.unpackString();
    }

    private byte[] bytes() throws IOException {
        return unpacker.readPayload(checkedSize(unpacker.unpackBinaryHeader()));
    }

    /**
     * Checks a size before anything is allocated for it. Each element takes at least one byte, so
     * no size can exceed the length of the message.
     */
    private int checkedSize(int size) throws IOException {
        if (size > length) {
            throw new IOException(
                    size + " elements or bytes announced, expected at most " + length);
        }
        return size;
    }
}
