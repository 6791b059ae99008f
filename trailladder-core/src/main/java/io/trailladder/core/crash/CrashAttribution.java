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
 * Distinguishes requests that were only in progress at upstreams that ended from those that ended
 * them.
 */
final class CrashAttribution {
    private CrashAttribution() {}

    /**
     * Returns whether the ends of a request are explained by other requests that are likelier to be
     * the cause.
     *
     * @param request the request
     * @param histories the histories of all requests, this one included
     * @param minEnds the number of ends from which a request is refused
     * @return true if fewer of its ends than that are without a likelier cause
     */
    static boolean isExplainedByOthers(
            RequestFingerprint request,
            Map<RequestFingerprint, CrashHistory> histories,
            int minEnds) {
        CrashHistory history = histories.get(request);
        Set<Long> explained = new HashSet<>();
        for (Map.Entry<RequestFingerprint, CrashHistory> other : histories.entrySet()) {
            CrashHistory suspect = other.getValue();
            if (suspect != history
                    && suspect.endCount() >= minEnds
                    && isLikelier(other.getKey(), suspect, request, history)) {
                suspect.countedEnds().forEach(known -> explained.add(known.end().incarnation()));
            }
        }
        long unexplained =
                history.countedEnds().stream()
                        .filter(known -> !explained.contains(known.end().incarnation()))
                        .count();
        return unexplained < minEnds;
    }

    /**
     * Returns whether one request is likelier to be the cause than another. More ends make it
     * likelier; with as many ends, a shorter time at the upstreams does.
     */
    private static boolean isLikelier(
            RequestFingerprint one,
            CrashHistory history,
            RequestFingerprint other,
            CrashHistory otherHistory) {
        int endComparison = Integer.compare(history.endCount(), otherHistory.endCount());
        if (endComparison != 0) {
            return endComparison > 0;
        }
        int timeComparison = Long.compare(history.ranMillis(), otherHistory.ranMillis());
        return timeComparison == 0 ? one.value() < other.value() : timeComparison < 0;
    }
}
