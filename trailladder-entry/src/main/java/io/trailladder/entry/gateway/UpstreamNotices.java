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
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.core.upstream.UpstreamBackoffs;
import io.trailladder.entry.gateway.GatewayMetrics.Event;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Has what upstreams say of themselves in answers believed: that they leave by all processes, that
 * they want rest by this one, how many requests they take by all that share the limit.
 *
 * <p>An answer is often the first to tell. While the store is away it is the only one, and an
 * upstream goes on to say so for seconds that would otherwise bring it more requests.
 */
final class UpstreamNotices {
    /** Most upstreams of which it is known that an unreadable notice was logged. */
    private static final int MAX_FAULTY_UPSTREAMS = 1_000;

    private final LongSupplier nowMillis;
    private final DirectoryManager directory;
    private final UpstreamBackoffs backoffs;
    private final UpstreamLimits limits;
    private final GatewayMetrics metrics;
    private final Map<String, Boolean> faulty = new RecentMap<>(MAX_FAULTY_UPSTREAMS);

    UpstreamNotices(
            LongSupplier nowMillis,
            DirectoryManager directory,
            UpstreamBackoffs rests,
            UpstreamLimits limits,
            GatewayMetrics metrics) {
        this.nowMillis = nowMillis;
        this.directory = directory;
        this.backoffs = rests;
        this.limits = limits;
        this.metrics = metrics;
    }

    /**
     * Takes over what an answer says of its upstream. One line is logged when that begins to be
     * believed, not for each answer that repeats it.
     *
     * @param request the request that was answered
     * @param upstream the upstream, which is known to be the one that answered
     * @param status the answer's HTTP status
     * @param notice what it says
     * @param sentMillis when the request was sent
     */
    void received(
            String request, Upstream upstream, int status, AnswerNotice notice, long sentMillis) {
        long now = nowMillis.getAsLong();
        boolean news = limits.answerReceived(upstream, notice.limit(), sentMillis, now);
        if (news) {
            metrics.count(Event.UPSTREAM_CHANGED_ITS_LIMIT);
        }
        if (!news && notice.isNone()) {
            return;
        }
        if (notice.leaving() && directory.leavingAnnouncedBy(upstream)) {
            metrics.count(Event.UPSTREAM_SAID_IT_LEAVES);
            news = true;
        }
        if (notice.backoffMillis() > 0 && backoffs.backoffRequested(upstream, notice.backoffMillis(), now)) {
            metrics.count(Event.UPSTREAM_ASKED_FOR_REST);
            news = true;
        }
        if (!notice.fault().isEmpty()) {
            metrics.count(Event.UPSTREAM_NOTICE_UNREADABLE);
            news |= isFirstFault(upstream);
        }
        if (news) {
            DecisionLog.write(
                    new UpstreamSaid(
                            request,
                            upstream.id(),
                            status,
                            notice.leaving(),
                            Math.min(notice.backoffMillis(), UpstreamBackoffs.MAX_BACKOFF_MILLIS),
                            notice.limit(),
                            notice.fault()));
        }
    }

    private boolean isFirstFault(Upstream upstream) {
        return faulty.put(upstream.id(), true) == null;
    }
}
