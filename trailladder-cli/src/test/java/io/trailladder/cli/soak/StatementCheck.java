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

import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Checks that gateways keep to what upstreams said to them: an upstream that left gets nothing more
 * from the gateway that it told, one that asked for rest gets nearly nothing until its end.
 *
 * <p>A gateway that was stopped, paused or started again, or whose way to the upstream was
 * disturbed since, is excused.
 */
final class StatementCheck {
    /** How long after it was told a gateway may still send to an upstream that leaves. */
    private static final long DRAIN_MILLIS = 2_000;

    /** How long after it was told requests may be under way to an upstream that rests. */
    private static final long UNDER_WAY_MILLIS = 500;

    /** How many requests are borne from then on until the end of the rest. */
    private static final int MOST_IN_REST = 2;

    private final Queue<String> violations;
    private final Map<String, Long> troubleMillis = new ConcurrentHashMap<>();
    private final Map<Pair, Long> leavingSince = new HashMap<>();
    private final Map<Pair, Rest> rests = new HashMap<>();
    private volatile long restsUntilMillis;

    /** A gateway, by the port that callers reach it at, and an upstream. */
    private record Pair(String gateway, String upstream) {}

    /** A rest, and how many requests came in it. */
    private static final class Rest {
        private final long sinceMillis;
        private final long untilMillis;
        private int arrived;

        Rest(long sinceMillis, long untilMillis) {
            this.sinceMillis = sinceMillis;
            this.untilMillis = untilMillis;
        }
    }

    StatementCheck(Queue<String> violations) {
        this.violations = violations;
    }

    /** Tells that a gateway or an upstream is disturbed until some time. */
    void trouble(String name, long untilMillis) {
        troubleMillis.merge(name, untilMillis, Math::max);
    }

    /** Takes over that an upstream's answer has said that it leaves. */
    void saidItLeaves(String upstream, String attempt, long nowMillis) {
        leavingSince.putIfAbsent(new Pair(gatewayOf(attempt), upstream), nowMillis);
    }

    /** Takes over that an upstream has asked for rest. */
    void askedForRest(String upstream, String attempt, long restMillis, long nowMillis) {
        Pair pair = new Pair(gatewayOf(attempt), upstream);
        restsUntilMillis = Math.max(restsUntilMillis, nowMillis + restMillis);
        Rest known = rests.get(pair);
        if (known == null || known.untilMillis <= nowMillis) {
            rests.put(pair, new Rest(nowMillis, nowMillis + restMillis));
        }
    }

    /** Returns until when gateways may leave out upstreams that asked them for rest. */
    long restsUntilMillis() {
        return restsUntilMillis;
    }

    /** Checks a request that has reached an upstream. */
    void arrived(String upstream, String attempt, long nowMillis) {
        Pair pair = new Pair(gatewayOf(attempt), upstream);
        Long left = leavingSince.get(pair);
        if (left != null && nowMillis - left > DRAIN_MILLIS && isCalmSince(pair, left)) {
            violations.add(
                    attempt
                            + ": reached "
                            + upstream
                            + " "
                            + (nowMillis - left)
                            + " ms after it"
                            + " said that it leaves");
        }
        Rest rest = rests.get(pair);
        boolean inRest =
                rest != null
                        && nowMillis > rest.sinceMillis + UNDER_WAY_MILLIS
                        && nowMillis < rest.untilMillis;
        if (inRest && isCalmSince(pair, rest.sinceMillis) && ++rest.arrived > MOST_IN_REST) {
            violations.add(attempt + ": " + rest.arrived + " requests in a rest of " + upstream);
        }
    }

    private boolean isCalmSince(Pair pair, long millis) {
        return isCalmSince(pair.gateway(), pair.upstream(), millis);
    }

    /** Tells whether neither a gateway nor an upstream was disturbed since some time. */
    boolean isCalmSince(String gateway, String upstream, long millis) {
        return troubleMillis.getOrDefault(gateway, 0L) < millis
                && troubleMillis.getOrDefault(upstream, 0L) < millis;
    }

    /** Callers name their tries by the port of the gateway that they ask. */
    static String gatewayOf(String attempt) {
        return attempt.substring(0, Math.max(0, attempt.indexOf('-')));
    }
}
