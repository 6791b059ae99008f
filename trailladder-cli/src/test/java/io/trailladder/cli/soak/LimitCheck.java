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
package io.trailladder.cli.soak;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;

/**
 * Checks that gateways together keep to the limit that an upstream names: in any four seconds it
 * gets at most half as many requests more than that allows, and five, from those that were told.
 *
 * <p>A gateway counts from half a second after an answer has told it, and not if it was disturbed
 * since.
 */
final class LimitCheck {
    private static final long WINDOW_MILLIS = 4_000;

    /** How long after an upstream first named a limit it may still get more. */
    static final long KNOWN_MILLIS = 2_000;

    /** How long after it was told requests of a gateway may be under way. */
    private static final long UNDER_WAY_MILLIS = 500;

    private static final double MOST_PART = 1.5;
    private static final int MORE = 5;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Queue<String> violations;
    private final StatementCheck statements;
    private final Map<String, Limit> limits = new HashMap<>();

    /** What an upstream names, whom it has told, and what came from these. */
    private static final class Limit {
        private final double perSecond;
        private final long sinceMillis;
        private final Map<String, Long> toldMillis = new HashMap<>();
        private final ArrayDeque<Long> arrived = new ArrayDeque<>();

        Limit(double perSecond, long sinceMillis) {
            this.perSecond = perSecond;
            this.sinceMillis = sinceMillis;
        }

        double most() {
            return MOST_PART * perSecond * WINDOW_MILLIS / MILLIS_PER_SECOND + MORE;
        }
    }

    LimitCheck(Queue<String> violations, StatementCheck statements) {
        this.violations = violations;
        this.statements = statements;
    }

    /** Takes over that an upstream begins to name a limit. */
    void begins(String upstream, double perSecond, long nowMillis) {
        limits.put(upstream, new Limit(perSecond, nowMillis));
    }

    /** Tells whether some upstream names a limit. */
    boolean isAnyLimited() {
        return !limits.isEmpty();
    }

    /** Takes over that an upstream names none any more. */
    void ends(String upstream) {
        limits.remove(upstream);
    }

    /** Takes over that an answer has named the limit. */
    void named(String upstream, String attempt, long nowMillis) {
        Limit limit = limits.get(upstream);
        if (limit == null) {
            return;
        }
        String gateway = StatementCheck.gatewayOf(attempt);
        Long told = limit.toldMillis.get(gateway);
        if (told == null || !statements.isCalmSince(gateway, upstream, told)) {
            limit.toldMillis.put(gateway, nowMillis);
        }
    }

    /** Checks a request that has reached an upstream. */
    void arrived(String upstream, String attempt, long nowMillis) {
        Limit limit = limits.get(upstream);
        if (limit == null || nowMillis < limit.sinceMillis + KNOWN_MILLIS) {
            return;
        }
        String gateway = StatementCheck.gatewayOf(attempt);
        Long told = limit.toldMillis.get(gateway);
        boolean counts =
                told != null
                        && nowMillis >= told + UNDER_WAY_MILLIS
                        && statements.isCalmSince(gateway, upstream, told);
        if (!counts) {
            return;
        }
        limit.arrived.add(nowMillis);
        while (nowMillis - limit.arrived.peek() >= WINDOW_MILLIS) {
            limit.arrived.poll();
        }
        if (limit.arrived.size() > limit.most()) {
            violations.add(
                    attempt
                            + ": "
                            + limit.arrived.size()
                            + " requests in 4 s at "
                            + upstream
                            + ", which names "
                            + limit.perSecond
                            + " a second");
        }
    }
}
