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

/** Tells requests that stood beside others when upstreams ended from those that end them. */
final class CrashAttribution {
    private CrashAttribution() {}

    /**
     * Tells whether others that are likelier to be the cause explain the ends of a request.
     *
     * @param request the request
     * @param histories what is known of all requests, this one included
     * @param fewest how many ends have a request refused
     * @return true if fewer than so many of its ends are without a likelier cause
     */
    static boolean isExplainedByOthers(
            RequestFingerprint request,
            Map<RequestFingerprint, CrashHistory> histories,
            int fewest) {
        CrashHistory history = histories.get(request);
        Set<Long> explained = new HashSet<>();
        for (Map.Entry<RequestFingerprint, CrashHistory> other : histories.entrySet()) {
            CrashHistory suspect = other.getValue();
            if (suspect != history
                    && suspect.endCount() >= fewest
                    && isLikelier(other.getKey(), suspect, request, history)) {
                suspect.countedEnds().forEach(known -> explained.add(known.end().incarnation()));
            }
        }
        long unexplained =
                history.countedEnds().stream()
                        .filter(known -> !explained.contains(known.end().incarnation()))
                        .count();
        return unexplained < fewest;
    }

    /**
     * More ends are likelier the cause; of as many, those after a shorter time at the upstreams.
     */
    private static boolean isLikelier(
            RequestFingerprint one,
            CrashHistory history,
            RequestFingerprint other,
            CrashHistory otherHistory) {
        int byEnds = Integer.compare(history.endCount(), otherHistory.endCount());
        if (byEnds != 0) {
            return byEnds > 0;
        }
        int byTime = Long.compare(history.ranMillis(), otherHistory.ranMillis());
        return byTime == 0 ? one.value() < other.value() : byTime < 0;
    }
}
