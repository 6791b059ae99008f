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

import io.trailladder.core.upstream.LimitReport;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.entry.gateway.UpdateRotation.Pace;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Sends peers the limits that upstreams name, the end of a limit, and when a limit of less than one
 * request per second was last used. All processes agree on these reports, so they are forwarded
 * unchanged. Without limits nothing is sent.
 */
final class LimitPart implements DigestPart {
    /** Maximum number of reports in one digest: as many as fit with names of up to 16 bytes. */
    static final int MAX_PER_DIGEST = 80;

    private static final int MIN_SENDS = 5;

    /** Maximum number of older reports, for processes that started later or were disconnected. */
    private static final int MAX_REPEATED = 4;

    /**
     * Interval between two digests with older reports, in milliseconds: most processes received
     * them when they were new.
     */
    private static final long REPEAT_INTERVAL_MILLIS = 1_000;

    private final UpstreamLimits limits;
    private final UpdateRotation rotation;
    private long writtenMillis = Long.MIN_VALUE;
    private Optional<DigestSection> written = Optional.empty();

    /**
     * Creates the part and subscribes it to changes of the limits.
     *
     * @param limits the limits to send
     * @param nowMillis returns the current time, in milliseconds
     * @param sendSoon sends digests outside the regular interval
     */
    static LimitPart of(UpstreamLimits limits, LongSupplier nowMillis, Runnable sendSoon) {
        LimitPart part = new LimitPart(limits);
        limits.onUpdate(
                upstream -> {
                    part.learned(upstream, nowMillis.getAsLong());
                    sendSoon.run();
                });
        return part;
    }

    private LimitPart(UpstreamLimits limits) {
        this.limits = limits;
        this.rotation =
                new UpdateRotation(
                        upstream -> limits.report(upstream).isPresent(),
                        new Pace(MAX_PER_DIGEST, MIN_SENDS, MAX_REPEATED, REPEAT_INTERVAL_MILLIS));
    }

    private void learned(String upstream, long nowMillis) {
        rotation.began(upstream, nowMillis);
        writtenMillis = Long.MIN_VALUE;
    }

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public int version() {
        return 1;
    }

    /** Writes one section for all peers of a round. */
    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        if (writtenMillis != nowMillis) {
            writtenMillis = nowMillis;
            written = section(nowMillis);
        }
        return written;
    }

    private Optional<DigestSection> section(long nowMillis) {
        List<LimitReport> reports =
                rotation.next(nowMillis).stream()
                        .flatMap(upstream -> limits.report(upstream).stream())
                        .toList();
        if (reports.isEmpty()) {
            return Optional.empty();
        }
        byte[] body = LimitReports.write(reports, DigestSection.MAX_BODY_BYTES, nowMillis);
        return Optional.of(new DigestSection(name(), version(), 0, body));
    }

    @Override
    public void received(String peer, DigestSection section, long nowMillis) throws IOException {
        List<LimitReport> reports =
                LimitReports.read(section.body(), nowMillis - section.ageMillis());
        reports.forEach(limits::reportReceived);
    }

    @Override
    public void linked(String peer, long nowMillis) {
        rotation.restartAll(nowMillis);
        writtenMillis = Long.MIN_VALUE;
    }

    /** Keeps the reports: they stay true when the peer does not respond. */
    @Override
    public void forget(String peer) {}
}
