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
 * Tells peers which upstreams name a limit, that one has ended, and when one of less than a request
 * a second was used. What a process believes is the same whoever told it, so it is passed on as it
 * is. Without limits nothing is told.
 */
final class LimitPart implements DigestPart {
    /** Most that one digest tells: so many fit with names of up to 16 bytes. */
    static final int MAX_PER_DIGEST = 80;

    private static final int MIN_SENDS = 5;

    /** Of the older ones, for processes that came later or were cut off. */
    private static final int MAX_REPEATED = 4;

    /** How often older ones are told, in milliseconds: most processes were told when it was new. */
    private static final long REPEAT_INTERVAL_MILLIS = 1_000;

    private final UpstreamLimits limits;
    private final UpdateRotation rotation;
    private long writtenMillis = Long.MIN_VALUE;
    private Optional<DigestSection> written = Optional.empty();

    /**
     * Creates the part, and has it hear what is learned.
     *
     * @param limits what is told
     * @param nowMillis the time
     * @param tellSoon has peers told out of turn
     */
    static LimitPart of(UpstreamLimits limits, LongSupplier nowMillis, Runnable tellSoon) {
        LimitPart part = new LimitPart(limits);
        limits.onUpdate(
                upstream -> {
                    part.learned(upstream, nowMillis.getAsLong());
                    tellSoon.run();
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

    /** All peers of a round are told the same. */
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
        byte[] body = LimitReports.write(reports, DigestSection.MOST_BYTES, nowMillis);
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

    /** What was told stays true when the peer is silent. */
    @Override
    public void forget(String peer) {}
}
