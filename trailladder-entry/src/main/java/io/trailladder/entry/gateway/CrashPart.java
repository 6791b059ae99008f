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

import io.trailladder.core.crash.CrashHistory;
import io.trailladder.core.crash.CrashReport;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Sends peers the requests under which upstreams ended.
 *
 * <p>A new report is sent for a second, in several digests in case one is lost. A new incarnation
 * of a peer has all suspects sent again for a second. Otherwise each digest contains one suspect in
 * rotation, so that a missed report arrives eventually.
 */
final class CrashPart implements DigestPart {
    /** How long a new report is sent, in milliseconds: five digests. */
    private static final long REPEAT_MILLIS = 5 * ClusterView.DIGEST_INTERVAL_MILLIS;

    /**
     * How long a process sends its incarnation after its start though it has nothing else to send,
     * in milliseconds: its links are established meanwhile. The section is left out when idle,
     * since it is half of a digest.
     */
    private static final long INCARNATION_SENT_MILLIS = 3_000;

    private final CrashWatch crashes;
    private final long incarnation;
    private final Map<String, Long> peerIncarnations = new HashMap<>();
    private final Map<DigestScope, Written> written = new EnumMap<>(DigestScope.class);
    private long sendAllUntilMillis = Long.MIN_VALUE;
    private long incarnationSentUntilMillis = Long.MIN_VALUE;

    /** A section that is reused for all peers of a round that receive the same. */
    private record Written(List<String> peers, long millis, Optional<DigestSection> section) {}

    /**
     * Creates the part.
     *
     * @param crashes the reports to send
     * @param incarnation identifies this incarnation of the process
     */
    CrashPart(CrashWatch crashes, long incarnation) {
        this.crashes = crashes;
        this.incarnation = incarnation;
    }

    @Override
    public String name() {
        return "crashes";
    }

    @Override
    public int version() {
        return 2;
    }

    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        List<String> sources = scope == DigestScope.REST ? List.of() : peers;
        Written last = written.get(scope);
        if (last == null || last.millis() != nowMillis || !last.peers().equals(sources)) {
            last = new Written(sources, nowMillis, section(scope, sources, nowMillis));
            written.put(scope, last);
        }
        return last.section();
    }

    private Optional<DigestSection> section(DigestScope scope, List<String> peers, long nowMillis) {
        Map<RequestTrait, CrashReport> selected = new LinkedHashMap<>();
        if (!crashes.ledger().isEmpty()) {
            crashes.ledger()
                    .changedSince(
                            nowMillis - REPEAT_MILLIS, source -> isIncluded(scope, peers, source))
                    .forEach(report -> selected.put(report.request(), report));
            List<CrashReport> suspected = crashes.ledger().suspected();
            if (nowMillis < sendAllUntilMillis) {
                suspected.forEach(report -> selected.put(report.request(), report));
            } else if (!suspected.isEmpty()) {
                int index =
                        (int) (nowMillis / ClusterView.DIGEST_INTERVAL_MILLIS % suspected.size());
                selected.put(suspected.get(index).request(), suspected.get(index));
            }
        }
        if (incarnationSentUntilMillis == Long.MIN_VALUE) {
            incarnationSentUntilMillis = nowMillis + INCARNATION_SENT_MILLIS;
        }
        if (selected.isEmpty() && nowMillis >= incarnationSentUntilMillis) {
            return Optional.empty();
        }
        byte[] reports =
                CrashReportCodec.write(
                        new ArrayList<>(selected.values()),
                        DigestSection.MAX_BODY_BYTES - Long.BYTES,
                        nowMillis);
        byte[] body =
                ByteBuffer.allocate(Long.BYTES + reports.length)
                        .putLong(incarnation)
                        .put(reports)
                        .array();
        return Optional.of(new DigestSection(name(), version(), 0, body));
    }

    private static boolean isIncluded(DigestScope scope, List<String> peers, String source) {
        return switch (scope) {
            case OWN -> source.equals(CrashHistory.OWN_SOURCE);
            case GROUP -> source.equals(CrashHistory.OWN_SOURCE) || peers.contains(source);
            case REST -> true;
        };
    }

    @Override
    public void received(String peer, DigestSection section, long nowMillis) throws IOException {
        ByteBuffer body = ByteBuffer.wrap(section.body());
        if (body.remaining() < Long.BYTES) {
            throw new IOException(body.remaining() + " bytes, expected at least " + Long.BYTES);
        }
        long peerIncarnation = body.getLong();
        List<CrashReport> reports = CrashReportCodec.read(body, nowMillis - section.ageMillis());
        Long before = peerIncarnations.put(peer, peerIncarnation);
        if (before == null || before != peerIncarnation) {
            sendAllUntilMillis = nowMillis + REPEAT_MILLIS;
        }
        reports.forEach(report -> crashes.receiveReport(peer, report));
    }

    @Override
    public void forget(String peer) {
        peerIncarnations.remove(peer);
    }
}
