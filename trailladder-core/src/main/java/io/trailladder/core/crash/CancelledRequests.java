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
package io.trailladder.core.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Remembers for a moment which requests were taken back from upstreams before their end was seen: a
 * caller who leaves early ends an upstream no less.
 *
 * @since 0.6
 */
public final class CancelledRequests {
    /**
     * How long a request that was taken back is remembered, in milliseconds: until an upstream that
     * ended is no longer listed, after three heartbeats of 1.2 s and the store's way.
     */
    public static final long RETENTION_MILLIS = 5_000;

    /** Most that are remembered, of some 150 bytes each; the oldest go first. */
    public static final int MAX_REQUESTS = 512;

    private final Deque<CancelledRequest> oldestFirst = new ArrayDeque<>();

    /**
     * A request that was taken back.
     *
     * @param tryId its try
     * @param request the request
     * @param upstream the upstream's name
     * @param life the upstream's life, see {@link UpstreamEnd#incarnationOf}
     * @param sentMillis when it was sent there, in milliseconds
     * @param leftMillis when it was taken back, in milliseconds
     */
    public record CancelledRequest(
            String attemptId,
            RequestFingerprint request,
            String upstream,
            long incarnation,
            long sentMillis,
            long cancelledMillis) {}

    /**
     * Remembers a request.
     *
     * @param left the request
     */
    public void add(CancelledRequest left) {
        removeExpired(left.cancelledMillis());
        if (oldestFirst.size() >= MAX_REQUESTS) {
            oldestFirst.removeFirst();
        }
        oldestFirst.addLast(left);
    }

    /**
     * Takes out the requests that were taken back from an upstream lately.
     *
     * @param upstream the upstream, which has ended
     * @param nowMillis the time, in milliseconds
     * @return the requests, the oldest first
     */
    public List<CancelledRequest> takeFrom(String upstream, long nowMillis) {
        removeExpired(nowMillis);
        List<CancelledRequest> taken = new ArrayList<>();
        Iterator<CancelledRequest> all = oldestFirst.iterator();
        while (all.hasNext()) {
            CancelledRequest left = all.next();
            if (left.upstream().equals(upstream)) {
                taken.add(left);
                all.remove();
            }
        }
        return taken;
    }

    private void removeExpired(long nowMillis) {
        while (!oldestFirst.isEmpty()
                && nowMillis - oldestFirst.getFirst().cancelledMillis() > RETENTION_MILLIS) {
            oldestFirst.removeFirst();
        }
    }
}
