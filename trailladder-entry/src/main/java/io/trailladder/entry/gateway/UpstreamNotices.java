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
import io.trailladder.core.upstream.LimitNotice;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamRests;
import io.trailladder.entry.gateway.GatewayMetrics.Event;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Has what upstreams say of themselves in answers believed: that they leave by all processes, that
 * they want rest by this one.
 *
 * <p>An answer is often the first to tell. While the store is away it is the only one, and an
 * upstream goes on to say so for seconds that would otherwise bring it more requests.
 */
final class UpstreamNotices {
    /** Most upstreams of which it is known that an unreadable notice was logged. */
    private static final int MOST_FAULTY = 1_000;

    /** Most upstreams whose limits are remembered: more than a site has. */
    private static final int MOST_LIMITED = 10_000;

    private final LongSupplier nowMillis;
    private final DirectoryKeeper directory;
    private final UpstreamRests rests;
    private final GatewayMetrics metrics;
    private final Map<String, Boolean> faulty = new RecentMap<>(MOST_FAULTY);

    /** The limits that upstreams named last, so that only a change is logged. */
    private final Map<String, LimitNotice> limits = new RecentMap<>(MOST_LIMITED);

    UpstreamNotices(
            LongSupplier nowMillis,
            DirectoryKeeper directory,
            UpstreamRests rests,
            GatewayMetrics metrics) {
        this.nowMillis = nowMillis;
        this.directory = directory;
        this.rests = rests;
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
     */
    void heard(String request, Upstream upstream, int status, AnswerNotice notice) {
        boolean news = isNewLimit(upstream, notice.limit());
        if (!news && notice.isNone()) {
            return;
        }
        if (notice.leaving() && directory.leavingSaidBy(upstream)) {
            metrics.count(Event.UPSTREAM_SAID_IT_LEAVES);
            news = true;
        }
        if (notice.restMillis() > 0
                && rests.asked(upstream, notice.restMillis(), nowMillis.getAsLong())) {
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
                            Math.min(notice.restMillis(), UpstreamRests.LONGEST_MILLIS),
                            notice.limit(),
                            notice.fault()));
        }
    }

    private boolean isNewLimit(Upstream upstream, LimitNotice limit) {
        return switch (limit.kind()) {
            case NAMED -> !limit.equals(limits.put(upstream.id(), limit));
            case ABSENT -> limits.remove(upstream.id()) != null;
            case UNREADABLE -> false;
        };
    }

    private boolean isFirstFault(Upstream upstream) {
        return faulty.put(upstream.id(), true) == null;
    }
}
