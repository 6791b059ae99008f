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

import io.trailladder.core.RecentMap;
import io.trailladder.core.upstream.AnswerNotice;
import io.trailladder.core.upstream.BrittleUpstreams;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamBackoffs;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.entry.gateway.GatewayMetrics.Event;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Applies what upstreams report about themselves in answers: that they are leaving, to all
 * processes; that they request a back-off, to this process; their request limit, to all processes
 * that share it.
 *
 * <p>An answer is often the first report, and the only one while the store is unreachable. Without
 * it, an upstream would receive further requests for the seconds during which it repeats the
 * report.
 */
final class UpstreamNotices {
    /** Maximum number of upstreams for which a logged unreadable notice is remembered. */
    private static final int MAX_FAULTY_UPSTREAMS = 1_000;

    private final LongSupplier nowMillis;
    private final DirectoryManager directory;
    private final UpstreamBackoffs backoffs;
    private final UpstreamLimits limits;
    private final BrittleUpstreams brittle;
    private final GatewayMetrics metrics;
    private final Map<String, Boolean> faulty = new RecentMap<>(MAX_FAULTY_UPSTREAMS);

    UpstreamNotices(
            LongSupplier nowMillis,
            DirectoryManager directory,
            UpstreamBackoffs backoffs,
            UpstreamLimits limits,
            BrittleUpstreams brittle,
            GatewayMetrics metrics) {
        this.nowMillis = nowMillis;
        this.directory = directory;
        this.backoffs = backoffs;
        this.limits = limits;
        this.brittle = brittle;
        this.metrics = metrics;
    }

    /**
     * Applies what an answer reports about its upstream. A line is logged only if that changes
     * something, not for each answer that repeats it.
     *
     * @param request id of the request that was answered
     * @param upstream the upstream, which is verified to be the one that answered
     * @param status HTTP status of the answer
     * @param notice the report in the answer
     * @param sentMillis the time at which the request was sent, in milliseconds
     */
    void received(
            String request, Upstream upstream, int status, AnswerNotice notice, long sentMillis) {
        long now = nowMillis.getAsLong();
        boolean changed = limits.answerReceived(upstream, notice.limit(), sentMillis, now);
        if (changed) {
            metrics.count(Event.UPSTREAM_CHANGED_ITS_LIMIT);
        }
        boolean brittleChanged = brittle.answerReceived(upstream, notice.brittle(), sentMillis);
        if (brittleChanged) {
            metrics.count(Event.UPSTREAM_CHANGED_ITS_BRITTLENESS);
        }
        if (!changed && !brittleChanged && notice.isNone()) {
            return;
        }
        changed |= brittleChanged;
        if (notice.leaving() && directory.leavingAnnouncedBy(upstream)) {
            metrics.count(Event.UPSTREAM_SAID_IT_LEAVES);
            changed = true;
        }
        if (notice.backoffMillis() > 0
                && backoffs.backoffRequested(upstream, notice.backoffMillis(), now)) {
            metrics.count(Event.UPSTREAM_ASKED_FOR_REST);
            changed = true;
        }
        if (!notice.fault().isEmpty()) {
            metrics.count(Event.UPSTREAM_NOTICE_UNREADABLE);
            changed |= isFirstFault(upstream);
        }
        if (changed) {
            DecisionLog.write(
                    new UpstreamSaid(
                            request,
                            upstream.id(),
                            status,
                            notice.leaving(),
                            Math.min(notice.backoffMillis(), UpstreamBackoffs.MAX_BACKOFF_MILLIS),
                            notice.limit(),
                            notice.brittle(),
                            notice.fault()));
        }
    }

    private boolean isFirstFault(Upstream upstream) {
        return faulty.put(upstream.id(), true) == null;
    }
}
