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
 * Tells when the upstreams that an operator provided have all registered.
 *
 * <p>They register one by one: 42 over some 3 s. Whoever takes the first that are seen for all of
 * them orders too few in their place, and the day begins with half of what it needs. The list
 * counts as complete once nobody new has come for longer than the gaps between them let expect.
 *
 * @since 0.4
 */
public final class RegistrationWatch {
    /**
     * Least time without a newcomer, in milliseconds: several of the gaps of a tenth of a second.
     */
    static final long MIN_QUIET_MILLIS = 1_000;

    /**
     * Most time that is waited for another newcomer, in milliseconds: all that were provided are
     * paid for meanwhile.
     */
    static final long MAX_QUIET_MILLIS = 3_000;

    /**
     * Longest time that a list may keep growing, in milliseconds: one that never rests, because
     * upstreams come and go, must not keep orders back for ever.
     */
    static final long MAX_WAIT_MILLIS = 10_000;

    /** How many times the longest gap seen so far must pass without a newcomer. */
    private static final int QUIET_GAPS = 2;

    private final Set<String> seen = new HashSet<>();
    private long firstMillis;
    private long lastMillis;
    private long longestGapMillis;
    private boolean settled;

    /**
     * Looks at the list. To be called a few times a second.
     *
     * @param upstreams the service's upstreams, leaving ones too
     * @param nowMillis the time
     * @return true once the list has been complete, also later
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
        return Math.max(MIN_QUIET_MILLIS, Math.min(MAX_QUIET_MILLIS, QUIET_GAPS * longestGapMillis));
    }
}
