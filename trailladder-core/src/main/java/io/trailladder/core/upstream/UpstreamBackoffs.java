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
 * The upstreams that asked this process for rest.
 *
 * <p>A rest is between one upstream and one process, so peers are not told of it. It ends with its
 * time, or with the life of the upstream that asked. What comes after it comes one by one until the
 * upstream takes a request again: an upstream that has rested is idle, hence the first choice of
 * all requests that arrive.
 *
 * <pre>{@code
 * rests.asked(upstream, 3_000, nowMillis);
 * rests.leftMillis(upstream, nowMillis + 1_000); // 2_000
 * }</pre>
 *
 * @since 0.5
 */
public final class UpstreamBackoffs {
    /**
     * Longest rest that is kept, in milliseconds: what is longer is taken for a spoiled value,
     * which must not leave an upstream out for good.
     */
    public static final long MAX_BACKOFF_MILLIS = 60_000;

    /**
     * Least time between two requests to an upstream that has rested and has taken none since, in
     * milliseconds: several times what a refusal takes to come back. A burst would else be sent
     * there at once.
     */
    static final long RECOVERY_INTERVAL_MILLIS = 200;

    private final Map<String, Backoff> backoffs = new HashMap<>();

    /** One upstream's rest, and its return until it has taken a request. */
    private static final class Backoff {
        private final long startedMillis;
        private long untilMillis;
        private long sentMillis = Long.MIN_VALUE / 2;

        Backoff(long bornMillis) {
            this.startedMillis = bornMillis;
        }
    }

    /**
     * Records that an upstream asks for rest. A later answer prolongs a rest and never shortens it:
     * answers on separate connections overtake one another.
     *
     * @param upstream the upstream
     * @param restMillis for how long, in milliseconds; more than {@link #MAX_BACKOFF_MILLIS} counts as
     *     that
     * @param nowMillis the time
     * @return true if it was not resting before
     */
    public boolean backoffRequested(Upstream upstream, long restMillis, long nowMillis) {
        boolean begins = remainingMillis(upstream, nowMillis) == 0;
        Backoff rest = current(upstream);
        if (rest == null) {
            rest = new Backoff(upstream.startedMillis());
            backoffs.put(upstream.id(), rest);
        }
        long until = nowMillis + Math.min(MAX_BACKOFF_MILLIS, restMillis);
        rest.untilMillis = Math.max(rest.untilMillis, until);
        return begins;
    }

    /**
     * Tells how long an upstream still rests.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     * @return milliseconds; 0 if it does not rest
     */
    public long remainingMillis(Upstream upstream, long nowMillis) {
        Backoff rest = current(upstream);
        return rest == null ? 0 : Math.max(0, rest.untilMillis - nowMillis);
    }

    /**
     * Tells whether an upstream that has rested was sent a request just now and has not yet shown
     * whether it takes one again. Others are to be preferred then.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     * @return false for one that never rested, or has taken a request since
     */
    public boolean isRecovering(Upstream upstream, long nowMillis) {
        Backoff rest = current(upstream);
        return rest != null && nowMillis - rest.sentMillis < RECOVERY_INTERVAL_MILLIS;
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     */
    public void sent(Upstream upstream, long nowMillis) {
        Backoff rest = current(upstream);
        if (rest != null) {
            rest.sentMillis = nowMillis;
        }
    }

    /**
     * Records that an upstream has taken a request, which ends its return. One that still rests has
     * only gone on with what it took before.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     */
    public void requestAccepted(Upstream upstream, long nowMillis) {
        if (remainingMillis(upstream, nowMillis) == 0) {
            backoffs.remove(upstream.id());
        }
    }

    /**
     * Returns how many upstreams rest.
     *
     * @param nowMillis the time
     * @return a count
     */
    public int count(long nowMillis) {
        return (int) backoffs.values().stream().filter(rest -> rest.untilMillis > nowMillis).count();
    }

    /**
     * Tells whether no upstream rests or returns, which is the usual state.
     *
     * @return true if there is nothing to ask for
     */
    public boolean isEmpty() {
        return backoffs.isEmpty();
    }

    /**
     * Forgets upstreams that are not listed any more and whose rest is over.
     *
     * @param directory the upstreams known
     * @param nowMillis the time
     */
    public void evictUnlisted(UpstreamDirectory directory, long nowMillis) {
        backoffs.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().untilMillis <= nowMillis
                                        && directory.find(entry.getKey()).isEmpty());
    }

    /** Returns what is kept of this life of an upstream; null if nothing. */
    private Backoff current(Upstream upstream) {
        Backoff rest = backoffs.get(upstream.id());
        return rest == null || rest.startedMillis != upstream.startedMillis() ? null : rest;
    }
}
