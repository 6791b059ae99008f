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
 * Records for a short time which requests were cancelled at upstreams before the end of the
 * upstream was observed: a request whose caller disconnects early may end an upstream all the same.
 *
 * @since 0.6
 */
public final class CancelledRequests {
    /**
     * Time for which a cancelled request stays recorded, in milliseconds: until an upstream that
     * ended is no longer listed, after three heartbeats of 1.2 s and the delay of the store.
     */
    public static final long RETENTION_MILLIS = 5_000;

    /**
     * Highest number of recorded requests, of about 150 bytes each; the oldest are removed first.
     */
    public static final int MAX_REQUESTS = 512;

    private final Deque<CancelledRequest> oldestFirst = new ArrayDeque<>();

    /**
     * A request that was cancelled at an upstream.
     *
     * @param attemptId the id of the attempt
     * @param request the request
     * @param parts the parts of its prompt of which each may end an upstream; empty if it had begun
     *     to be answered
     * @param upstream the upstream's name
     * @param incarnation the upstream's incarnation, see {@link UpstreamEnd#incarnationOf}
     * @param sentMillis when it was sent there, in milliseconds
     * @param cancelledMillis when it was cancelled, in milliseconds
     */
    public record CancelledRequest(
            String attemptId,
            RequestTrait request,
            List<RequestTrait> parts,
            String upstream,
            long incarnation,
            long sentMillis,
            long cancelledMillis) {}

    /**
     * Records a cancelled request.
     *
     * @param cancelled the request
     */
    public void add(CancelledRequest cancelled) {
        removeExpired(cancelled.cancelledMillis());
        if (oldestFirst.size() >= MAX_REQUESTS) {
            oldestFirst.removeFirst();
        }
        oldestFirst.addLast(cancelled);
    }

    /**
     * Removes and returns the requests that were cancelled recently at an upstream.
     *
     * @param upstream the upstream, which has ended
     * @param nowMillis the current time, in milliseconds
     * @return the requests, the oldest first
     */
    public List<CancelledRequest> takeFrom(String upstream, long nowMillis) {
        removeExpired(nowMillis);
        List<CancelledRequest> taken = new ArrayList<>();
        Iterator<CancelledRequest> iterator = oldestFirst.iterator();
        while (iterator.hasNext()) {
            CancelledRequest cancelled = iterator.next();
            if (cancelled.upstream().equals(upstream)) {
                taken.add(cancelled);
                iterator.remove();
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
