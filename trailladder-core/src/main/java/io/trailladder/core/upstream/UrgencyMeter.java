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
package io.trailladder.core.upstream;

import java.util.HashMap;
import java.util.Map;

/** Measures how often requests for a service were recently received, by priority. */
final class UrgencyMeter {
    /**
     * Time after which a request is weighted by 1/e, in milliseconds: long enough to include
     * several requests of most priorities.
     */
    private static final double SMOOTHING_MILLIS = 2_000;

    private static final int PRIORITIES = 10;

    private final Map<String, Counts> byService = new HashMap<>();

    /** Requests of one service by priority, each weighted less the longer ago it was received. */
    private static final class Counts {
        private final double[] byPriority = new double[PRIORITIES];
        private long updatedMillis;

        void decay(long nowMillis) {
            double elapsed = Math.max(0, nowMillis - updatedMillis);
            double factor = StrictMath.exp(-elapsed / SMOOTHING_MILLIS);
            for (int i = 0; i < PRIORITIES; i++) {
                byPriority[i] *= factor;
            }
            updatedMillis = Math.max(updatedMillis, nowMillis);
        }
    }

    /** Records a request. */
    void requestReceived(String service, int priority, long nowMillis) {
        Counts counts = byService.computeIfAbsent(service, name -> new Counts());
        counts.decay(nowMillis);
        counts.byPriority[bounded(priority)]++;
    }

    /** Returns how many requests per millisecond are more urgent than a given priority. */
    double moreUrgentPerMilli(String service, int priority, long nowMillis) {
        Counts counts = byService.get(service);
        if (counts == null) {
            return 0;
        }
        counts.decay(nowMillis);
        double sum = 0;
        for (int i = 0; i < bounded(priority); i++) {
            sum += counts.byPriority[i];
        }
        return sum / SMOOTHING_MILLIS;
    }

    private static int bounded(int priority) {
        return Math.max(0, Math.min(PRIORITIES - 1, priority));
    }
}
