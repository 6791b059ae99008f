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
import io.trailladder.core.rollout.RolloutUpdate;
import io.trailladder.core.rollout.RouteEvidence;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.core.upstream.UpstreamUse;
import io.trailladder.wire.NodeMessage.DigestSection;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.OrganisationUse;
import io.trailladder.wire.NodeMessage.RegionDigest;
import io.trailladder.wire.NodeMessage.RelayData;
import io.trailladder.wire.NodeMessage.RelayEnd;
import io.trailladder.wire.NodeMessage.RelayMessage;
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
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Encodes messages between gateways as MessagePack arrays of their fields in order, in the same
 * form as the general mapper of {@link PeerCodec}. It is separate because the mapper inspects every
 * class by reflection, which takes longer than everything else at the start of a process.
 */
final class NodePacker {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Writes one element of a list. */
    private interface PartWriter<T> {
        void write(T element) throws IOException;
    }

    private NodePacker() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the payload of its frame
     * @throws IOException if a field cannot be encoded
     */
    static byte[] pack(NodeMessage message) throws IOException {
        NodePacker self = new NodePacker();
        self.message(message);
        return self.packer.toByteArray();
    }

    private void message(NodeMessage message) throws IOException {
        if (message instanceof NodeDigest digest) {
            digest(digest);
        } else if (message instanceof NodeHello hello) {
            hello(hello);
        } else if (message instanceof UsageHistory history) {
            usageHistory(history);
        } else if (message instanceof SnapshotRequest request) {
            fields(2).number(request.policyVersion()).number(request.directoryRevision());
        } else if (message instanceof UpstreamUpdate update) {
            fields(3)
                    .number(update.after())
                    .number(update.revision())
                    .upstreamEntry(update.upstream());
        } else if (message instanceof RolloutReport report) {
            fields(1).list(report.rollouts(), this::rollout);
        } else if (message instanceof Snapshot snapshot) {
            snapshot(snapshot);
        } else if (message instanceof UnitsRequest request) {
            fields(4)
                    .text(request.organisation())
                    .decimal(request.needed())
                    .decimal(request.wanted())
                    .decimal(request.refused());
        } else if (message instanceof UnitsGrant grant) {
            fields(3).text(grant.organisation()).decimal(grant.units()).number(grant.waitMillis());
        } else if (message instanceof UnitsReturn returned) {
            fields(2).text(returned.organisation()).decimal(returned.units());
        } else if (message instanceof StreamQuery query) {
            fields(1).number(query.stream());
        } else if (message instanceof StreamReply reply) {
            fields(4)
                    .number(reply.stream())
                    .text(reply.version())
                    .number(reply.plan())
                    .flag(reply.complete());
        } else if (message instanceof StreamNews news) {
            fields(2).number(news.kind().number()).list(news.streams(), this::streamSent);
        } else if (message instanceof RegionDigest region) {
            fields(4).flag(region.represents()).text(region.receivesFrom());
            hello(region.origin());
            digest(region.digest());
        } else if (message instanceof RelayMessage relay) {
            relay(relay);
        }
    }

    private void relay(RelayMessage message) throws IOException {
        if (message instanceof RelayRequest request) {
            fields(5)
                    .text(request.sender())
                    .text(request.upstream())
                    .text(request.requestId())
                    .number(request.timeoutMillis())
                    .number(request.lifetimeMillis());
        } else if (message instanceof RelayOpened opened) {
            fields(1).text(opened.upstream());
        } else if (message instanceof RelayRefused refused) {
            fields(1).text(refused.reason());
        } else if (message instanceof RelayData data) {
            fields(1).bytes(data.bytes());
        } else if (message instanceof RelayEnd end) {
            fields(1).flag(end.orderly());
        }
    }

    private void hello(NodeHello hello) throws IOException {
        fields(4)
                .text(hello.name())
                .text(hello.incarnation())
                .text(hello.dataCentre())
                .text(hello.address());
    }

    private void digest(NodeDigest digest) throws IOException {
        fields(14)
                .number(digest.policyVersion())
                .number(digest.directoryRevision())
                .flag(digest.storeReachable())
                .flag(digest.draining())
                .text(digest.scope().name())
                .number(digest.processes())
                .number(digest.members())
                .list(digest.usage(), this::usageHistory)
                .list(digest.quotas(), this::organisationUse)
                .list(digest.uses(), this::upstreamUse)
                .list(digest.demands(), this::demand)
                .list(digest.evidence(), this::evidence)
                .list(digest.leaving(), this::text)
                .list(digest.sections(), this::section);
    }

    private void section(DigestSection section) throws IOException {
        fields(4)
                .text(section.name())
                .number(section.version())
                .number(section.ageMillis())
                .bytes(section.body());
    }

    private void snapshot(Snapshot snapshot) throws IOException {
        fields(4)
                .number(snapshot.policyVersion())
                .bytes(snapshot.policy())
                .number(snapshot.directoryRevision())
                .list(snapshot.upstreams(), this::upstreamEntry);
    }

    private void usageHistory(UsageHistory history) throws IOException {
        fields(2).text(history.incarnation()).list(history.usage(), this::usageCount);
    }

    private void usageCount(UsageCount count) throws IOException {
        fields(3).number(count.window()).text(count.organisation()).number(count.started());
    }

    private void organisationUse(OrganisationUse use) throws IOException {
        fields(4)
                .text(use.organisation())
                .decimal(use.used())
                .decimal(use.reportedBefore())
                .decimal(use.level());
    }

    private void upstreamUse(UpstreamUse use) throws IOException {
        fields(3).text(use.upstream()).number(use.requests()).number(use.promptTokens());
    }

    private void demand(ServiceDemand demand) throws IOException {
        fields(3)
                .text(demand.service())
                .decimal(demand.tokensPerMilli())
                .decimal(demand.squaredTokensPerMilli());
    }

    private void evidence(EngineEvidence evidence) throws IOException {
        fields(5).text(evidence.service());
        fitSums(evidence.reading());
        fitSums(evidence.pacing());
        decimal(evidence.runs()).decimal(evidence.runMillis());
    }

    private void fitSums(FitSums sums) throws IOException {
        fields(5)
                .decimal(sums.weight())
                .decimal(sums.x())
                .decimal(sums.y())
                .decimal(sums.xx())
                .decimal(sums.xy());
    }

    private void streamSent(StreamSent stream) throws IOException {
        fields(3).number(stream.stream()).text(stream.version()).number(stream.ageMillis());
    }

    private void rollout(RolloutUpdate update) throws IOException {
        RolloutOrder order = update.order();
        fields(8)
                .text(order.service())
                .text(order.version())
                .number(order.durationMillis())
                .number(order.revision())
                .text(update.phase().name())
                .number(update.remainingMillis())
                .number(update.round())
                .list(update.evidence(), this::routeEvidence);
    }

    private void routeEvidence(RouteEvidence evidence) throws IOException {
        fields(7).text(evidence.route());
        answerCount(evidence.old());
        answerCount(evidence.target());
    }

    private void answerCount(AnswerCount count) throws IOException {
        number(count.answers()).number(count.bad()).number(count.slow());
    }

    private void upstreamEntry(UpstreamEntry entry) throws IOException {
        fields(2).text(entry.id()).bytes(entry.value());
    }

    private NodePacker fields(int count) throws IOException {
        packer.packArrayHeader(count);
        return this;
    }

    private <T> NodePacker list(List<T> elements, PartWriter<T> writer) throws IOException {
        packer.packArrayHeader(elements.size());
        for (T element : elements) {
            writer.write(element);
        }
        return this;
    }

    private NodePacker number(long value) throws IOException {
        packer.packLong(value);
        return this;
    }

    private NodePacker decimal(double value) throws IOException {
        packer.packDouble(value);
        return this;
    }

    private NodePacker flag(boolean value) throws IOException {
        packer.packBoolean(value);
        return this;
    }

    private NodePacker text(String value) throws IOException {
        packer.packString(value);
        return this;
    }

    private NodePacker bytes(byte[] value) throws IOException {
        packer.packBinaryHeader(value.length).writePayload(value);
        return this;
    }
}
