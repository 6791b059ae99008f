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

import io.trailladder.core.RecentMap;
import java.util.Map;

/**
 * How long the requests of this process run, by service, and the turns that suit them. A turn lasts
 * for about twice as long as a request or more, so that a request sent in its first half has ended
 * when the turn does.
 */
final class RunTimes {
    /** Duration of a turn for requests that run for less than {@link #MAX_SHORT_MILLIS}. */
    private static final long SHORT_TURN_MILLIS = 50;

    /** Duration of a turn for requests that run for less than {@link #MAX_MEDIUM_MILLIS}. */
    private static final long MEDIUM_TURN_MILLIS = 160;

    private static final double MAX_SHORT_MILLIS = 30;

    /** Mean run time above which reports of peers tell which slots are free, in milliseconds. */
    private static final double MAX_MEDIUM_MILLIS = 100;

    /** Number of runs after which a later one no longer weighs less in the mean. */
    private static final int MAX_RUNS = 32;

    private static final int MAX_SERVICES = 4_096;

    private static final Mean NONE = new Mean(0, 0);

    private final Map<String, Mean> means = new RecentMap<>(MAX_SERVICES);

    /** Mean run time of some runs. */
    private record Mean(double millis, int runs) {
        private Mean with(long latest) {
            int counted = Math.min(MAX_RUNS, runs + 1);
            return new Mean(millis + (latest - millis) / counted, counted);
        }
    }

    /** Records that a request ran to its end. */
    void ended(String service, long millis) {
        means.put(service, means.getOrDefault(service, NONE).with(millis));
    }

    /**
     * Returns the duration of a turn that suits the requests of a service. There are few durations,
     * so that most processes have the same.
     *
     * @param service the service
     * @return milliseconds; 0 if the requests run so long that no turns are needed, or none has
     *     ended yet
     */
    long turnMillis(String service) {
        Mean mean = means.getOrDefault(service, NONE);
        if (mean.runs() == 0 || mean.millis() >= MAX_MEDIUM_MILLIS) {
            return 0;
        }
        return mean.millis() < MAX_SHORT_MILLIS ? SHORT_TURN_MILLIS : MEDIUM_TURN_MILLIS;
    }
}
