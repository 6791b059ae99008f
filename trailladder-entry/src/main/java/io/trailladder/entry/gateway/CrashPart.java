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
import io.trailladder.core.crash.RequestFingerprint;
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
 * Tells peers under which requests upstreams ended.
 *
 * <p>News is told for a second, in several digests in case one is lost. A peer's new life has all
 * suspects told again for a second, and one of them at a time goes with each digest at rest, so
 * that whatever was missed comes in the end.
 */
final class CrashPart implements DigestPart {
    /** How long news is told, in milliseconds: in five digests. */
    private static final long REPEAT_MILLIS = 5 * ClusterView.DIGEST_INTERVAL_MILLIS;

    /**
     * How long a process tells its life at its start though it has nothing else to tell, in
     * milliseconds: its links come about meanwhile. At rest the section is left out, since it is
     * half of a digest.
     */
    private static final long INCARNATION_SENT_MILLIS = 3_000;

    private final CrashWatch crashes;
    private final long incarnation;
    private final Map<String, Long> peerIncarnations = new HashMap<>();
    private final Map<DigestScope, Written> written = new EnumMap<>(DigestScope.class);
    private long sendAllUntilMillis = Long.MIN_VALUE;
    private long incarnationSentUntilMillis = Long.MIN_VALUE;

    /** A section that serves all peers of a round who are told the same. */
    private record Written(List<String> peers, long millis, Optional<DigestSection> section) {}

    /**
     * Creates the part.
     *
     * @param crashes what is told
     * @param life names this life of the process
     */
    CrashPart(CrashWatch crashes, long life) {
        this.crashes = crashes;
        this.incarnation = life;
    }

    @Override
    public String name() {
        return "crashes";
    }

    @Override
    public int version() {
        return 1;
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
        Map<RequestFingerprint, CrashReport> told = new LinkedHashMap<>();
        if (!crashes.ledger().isEmpty()) {
            crashes.ledger()
                    .changedSince(nowMillis - REPEAT_MILLIS, source -> isIncluded(scope, peers, source))
                    .forEach(report -> told.put(report.request(), report));
            List<CrashReport> suspected = crashes.ledger().suspected();
            if (nowMillis < sendAllUntilMillis) {
                suspected.forEach(report -> told.put(report.request(), report));
            } else if (!suspected.isEmpty()) {
                int turn = (int) (nowMillis / ClusterView.DIGEST_INTERVAL_MILLIS % suspected.size());
                told.put(suspected.get(turn).request(), suspected.get(turn));
            }
        }
        if (incarnationSentUntilMillis == Long.MIN_VALUE) {
            incarnationSentUntilMillis = nowMillis + INCARNATION_SENT_MILLIS;
        }
        if (told.isEmpty() && nowMillis >= incarnationSentUntilMillis) {
            return Optional.empty();
        }
        byte[] reports =
                CrashReportCodec.write(
                        new ArrayList<>(told.values()),
                        DigestSection.MOST_BYTES - Long.BYTES,
                        nowMillis);
        byte[] body =
                ByteBuffer.allocate(Long.BYTES + reports.length).putLong(incarnation).put(reports).array();
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
            throw new IOException(body.remaining() + " bytes, expected " + Long.BYTES);
        }
        long peerLife = body.getLong();
        List<CrashReport> reports = CrashReportCodec.read(body, nowMillis - section.ageMillis());
        Long before = peerIncarnations.put(peer, peerLife);
        if (before == null || before != peerLife) {
            sendAllUntilMillis = nowMillis + REPEAT_MILLIS;
        }
        reports.forEach(report -> crashes.receiveReport(peer, report));
    }

    @Override
    public void forget(String peer) {
        peerIncarnations.remove(peer);
    }
}
