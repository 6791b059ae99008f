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
package io.trailladder.core.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * The upstreams that requested a back-off from this process.
 *
 * <p>A back-off concerns one upstream and one process, so it is not reported to peers. It ends
 * after its duration, or with the upstream's incarnation. After that, requests are sent one at a
 * time until the upstream accepts one again: it is idle by then, and would otherwise be the first
 * choice of all requests that arrive.
 *
 * <pre>{@code
 * backoffs.backoffRequested(upstream, 3_000, nowMillis);
 * backoffs.remainingMillis(upstream, nowMillis + 1_000); // 2_000
 * }</pre>
 *
 * @since 0.5
 */
public final class UpstreamBackoffs {
    /**
     * Maximum duration of a back-off, in milliseconds. A longer one is considered an invalid value,
     * which must not exclude an upstream permanently.
     */
    public static final long MAX_BACKOFF_MILLIS = 60_000;

    /**
     * Minimum time between two requests to an upstream that has accepted none since its back-off,
     * in milliseconds: several times what a rejection takes to arrive. Otherwise a whole burst of
     * requests would be sent there.
     */
    static final long RECOVERY_INTERVAL_MILLIS = 200;

    private final Map<String, Backoff> backoffs = new HashMap<>();

    /** One upstream's back-off, and its recovery until it has accepted a request. */
    private static final class Backoff {
        private final long startedMillis;
        private long untilMillis;
        private long sentMillis = Long.MIN_VALUE / 2;

        Backoff(long bornMillis) {
            this.startedMillis = bornMillis;
        }
    }

    /**
     * Records that an upstream requests a back-off. A later answer extends a back-off and never
     * shortens it, because answers on separate connections may overtake one another.
     *
     * @param upstream the upstream
     * @param durationMillis for how long, in milliseconds; capped at {@link #MAX_BACKOFF_MILLIS}
     * @param nowMillis the current time, in milliseconds
     * @return true if it was not backing off before
     */
    public boolean backoffRequested(Upstream upstream, long durationMillis, long nowMillis) {
        boolean isNew = remainingMillis(upstream, nowMillis) == 0;
        Backoff backoff = current(upstream);
        if (backoff == null) {
            backoff = new Backoff(upstream.startedMillis());
            backoffs.put(upstream.id(), backoff);
        }
        long untilMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, durationMillis);
        backoff.untilMillis = Math.max(backoff.untilMillis, untilMillis);
        return isNew;
    }

    /**
     * Returns for how long an upstream is still backing off.
     *
     * @param upstream the upstream
     * @param nowMillis the current time, in milliseconds
     * @return milliseconds; 0 if it is not backing off
     */
    public long remainingMillis(Upstream upstream, long nowMillis) {
        Backoff backoff = current(upstream);
        return backoff == null ? 0 : Math.max(0, backoff.untilMillis - nowMillis);
    }

    /**
     * Returns whether a request was just sent to an upstream after its back-off, and it is not yet
     * known whether it accepts requests again. Other upstreams are preferred then.
     *
     * @param upstream the upstream
     * @param nowMillis the current time, in milliseconds
     * @return false for an upstream without a back-off, or that has accepted a request since
     */
    public boolean isRecovering(Upstream upstream, long nowMillis) {
        Backoff backoff = current(upstream);
        return backoff != null && nowMillis - backoff.sentMillis < RECOVERY_INTERVAL_MILLIS;
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public void sent(Upstream upstream, long nowMillis) {
        Backoff backoff = current(upstream);
        if (backoff != null) {
            backoff.sentMillis = nowMillis;
        }
    }

    /**
     * Records that an upstream has accepted a request, which ends its recovery. While it is backing
     * off, the answer belongs to a request that it accepted before, and is ignored.
     *
     * @param upstream the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public void requestAccepted(Upstream upstream, long nowMillis) {
        if (remainingMillis(upstream, nowMillis) == 0) {
            backoffs.remove(upstream.id());
        }
    }

    /**
     * Returns how many upstreams are backing off.
     *
     * @param nowMillis the current time, in milliseconds
     * @return a count
     */
    public int count(long nowMillis) {
        return (int)
                backoffs.values().stream()
                        .filter(backoff -> backoff.untilMillis > nowMillis)
                        .count();
    }

    /**
     * Returns whether no upstream is backing off or recovering, which is the usual state.
     *
     * @return true if no upstream needs to be checked
     */
    public boolean isEmpty() {
        return backoffs.isEmpty();
    }

    /**
     * Evicts upstreams that are not listed any more and whose back-off is over.
     *
     * @param directory the known upstreams
     * @param nowMillis the current time, in milliseconds
     */
    public void evictUnlisted(UpstreamDirectory directory, long nowMillis) {
        backoffs.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().untilMillis <= nowMillis
                                        && directory.find(entry.getKey()).isEmpty());
    }

    /** Returns the state of the current incarnation of an upstream; null if there is none. */
    private Backoff current(Upstream upstream) {
        Backoff backoff = backoffs.get(upstream.id());
        return backoff == null || backoff.startedMillis != upstream.startedMillis()
                ? null
                : backoff;
    }
}
