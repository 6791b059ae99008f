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
package io.trailladder.core.duty;

import io.trailladder.core.upstream.Upstream;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Detects when all upstreams that an operator provided have registered.
 *
 * <p>Upstreams register one by one, for example 42 over about 3 s. If the first ones were taken for
 * the whole list, too few upstreams would be ordered in their place, and the service would start
 * with half of the capacity it needs. The list counts as complete once no new upstream has appeared
 * for longer than the gaps between registrations suggest.
 *
 * @since 0.4
 */
public final class RegistrationWatch {
    /**
     * Minimum time without a new upstream, in milliseconds: several of the usual gaps of 100 ms.
     */
    static final long MIN_QUIET_MILLIS = 1_000;

    /**
     * Maximum time to wait for another new upstream, in milliseconds. All provided upstreams are
     * paid for meanwhile.
     */
    static final long MAX_QUIET_MILLIS = 3_000;

    /**
     * Maximum time for which a list may keep growing, in milliseconds. A list that never stops
     * changing, because upstreams start and leave, must not delay orders indefinitely.
     */
    static final long MAX_WAIT_MILLIS = 10_000;

    /** How many times the longest gap so far must pass without a new upstream. */
    private static final int QUIET_GAPS = 2;

    private final Set<String> seen = new HashSet<>();
    private long firstMillis;
    private long lastMillis;
    private long longestGapMillis;
    private boolean settled;

    /**
     * Checks the list. Must be called a few times a second.
     *
     * @param upstreams the upstreams of the service, including leaving ones
     * @param nowMillis the current time, in milliseconds
     * @return true once the list is complete, and from then on
     */
    public boolean isSettled(Collection<Upstream> upstreams, long nowMillis) {
        if (settled) {
            return true;
        }
        boolean first = seen.isEmpty();
        boolean newcomers = false;
        for (Upstream upstream : upstreams) {
            newcomers |= seen.add(upstream.id());
        }
        if (newcomers) {
            longestGapMillis = first ? 0 : Math.max(longestGapMillis, nowMillis - lastMillis);
            lastMillis = nowMillis;
        }
        if (first && newcomers) {
            firstMillis = nowMillis;
        }
        boolean quiet = nowMillis - lastMillis >= quietMillis();
        settled = !seen.isEmpty() && (quiet || nowMillis - firstMillis >= MAX_WAIT_MILLIS);
        return settled;
    }

    private long quietMillis() {
        return Math.max(
                MIN_QUIET_MILLIS, Math.min(MAX_QUIET_MILLIS, QUIET_GAPS * longestGapMillis));
    }
}
