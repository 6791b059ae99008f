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
package io.trailladder.core.rollout;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds times in which the old version is late as well. Its cause then lies outside both versions,
 * such as a process that waits for a processor, and late answers of that time count for neither:
 * they depend on each other, while the tests of {@link VersionEvaluator} suppose that they do not.
 *
 * <p>A time of delay lasts from one late answer to the next while each begins soon after the one
 * before it has arrived. It is shared if the old version was late as often as not in it.
 */
final class SharedDelay {
    /** Longest time between a late answer and the begin of the next one, in milliseconds. */
    private static final long MAX_GAP_MILLIS = 100;

    /** Late answers of the old version needed to call a delay shared: fewer may be chance. */
    private static final int MIN_OLD_LATE = 3;

    private final Map<String, RouteEvidence> late = new TreeMap<>();
    private long lastLateMillis = Long.MIN_VALUE / 2;
    private int oldLate;
    private int oldOnTime;
    private int oldOnTimeSinceLate;

    /** Records an answer of the old version that was not late. */
    void oldOnTime() {
        oldOnTimeSinceLate++;
    }

    /**
     * Records a late answer.
     *
     * @param route the route's name
     * @param isTarget true if the version that the order names gave it
     * @param begunMillis when its request was sent, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the late answers of an earlier time of delay that has ended and was not shared
     */
    List<RouteEvidence> late(String route, boolean isTarget, long begunMillis, long nowMillis) {
        boolean begins = begunMillis > lastLateMillis + MAX_GAP_MILLIS;
        List<RouteEvidence> ended = begins ? counted() : List.of();
        if (begins) {
            late.clear();
            oldLate = 0;
            oldOnTime = 0;
        } else {
            oldOnTime += oldOnTimeSinceLate;
        }
        oldOnTimeSinceLate = 0;
        lastLateMillis = nowMillis;
        oldLate += isTarget ? 0 : 1;
        late.merge(
                route, RouteEvidence.none(route).with(isTarget, true, true), RouteEvidence::plus);
        return ended;
    }

    /**
     * Returns the late answers of the latest time of delay.
     *
     * @return evidence by route; none if the delay is shared
     */
    List<RouteEvidence> counted() {
        boolean shared = oldLate >= MIN_OLD_LATE && oldLate >= oldOnTime;
        return shared ? List.of() : List.copyOf(late.values());
    }
}
