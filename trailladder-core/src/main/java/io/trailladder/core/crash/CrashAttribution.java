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

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Distinguishes traits of requests that were only in progress at upstreams that ended from those
 * that ended them.
 */
final class CrashAttribution {
    private CrashAttribution() {}

    /**
     * Returns whether the ends of a trait are explained by others that are likelier to be the
     * cause.
     *
     * @param request the trait
     * @param histories the histories of all traits, this one included
     * @param minEnds the evidence from which a trait counts
     * @return true if its evidence without the explained ends is less than that
     */
    static boolean isExplainedByOthers(
            RequestTrait request, Map<RequestTrait, CrashHistory> histories, int minEnds) {
        CrashHistory history = histories.get(request);
        Set<Long> explained = new HashSet<>();
        for (Map.Entry<RequestTrait, CrashHistory> other : histories.entrySet()) {
            CrashHistory suspect = other.getValue();
            if (suspect != history
                    && suspect.evidence() >= minEnds
                    && isLikelier(other.getKey(), suspect, request, history)) {
                suspect.countedEnds().forEach(known -> explained.add(known.end().incarnation()));
            }
        }
        return history.evidenceWithout(explained) < minEnds;
    }

    /**
     * Returns whether one trait is likelier to be the cause than another. One that has survived at
     * an upstream shortly before is less likely, more ends make it likelier, and with as many ends
     * a later position does: whoever has the later part of a prompt has the earlier ones as well,
     * so an earlier one that is the cause soon has more ends. Last counts a shorter time at the
     * upstreams.
     */
    private static boolean isLikelier(
            RequestTrait one, CrashHistory history, RequestTrait other, CrashHistory otherHistory) {
        boolean survived = history.hasSurvivedBefore();
        if (survived != otherHistory.hasSurvivedBefore()) {
            return !survived;
        }
        int endComparison = Integer.compare(history.endCount(), otherHistory.endCount());
        if (endComparison != 0) {
            return endComparison > 0;
        }
        if (one.position() != other.position()) {
            return one.position() > other.position();
        }
        int timeComparison = Long.compare(history.ranMillis(), otherHistory.ranMillis());
        return timeComparison == 0 ? one.value() < other.value() : timeComparison < 0;
    }
}
