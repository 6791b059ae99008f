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
package io.trailladder.core.engine;

/**
 * Recent observations of the upstreams of a service by one process, or by several. Older
 * observations have less weight.
 *
 * @param service the service
 * @param reading fit of the milliseconds to the first event over the prompt tokens that had to be
 *     read before it
 * @param pacing fit of the milliseconds between two events over the requests in flight at the
 *     upstream
 * @param runs weighted number of requests that ran to their end
 * @param runMillis weighted sum of their durations, in milliseconds
 * @since 0.3
 */
public record EngineEvidence(
        String service, FitSums reading, FitSums pacing, double runs, double runMillis) {
    private static final double MAX_RUN_MILLIS = 1e6;

    /**
     * Returns empty evidence.
     *
     * @param service the service
     * @return evidence without any observation
     */
    public static EngineEvidence none(String service) {
        return new EngineEvidence(service, FitSums.NONE, FitSums.NONE, 0, 0);
    }

    /**
     * Returns the evidence with one more first event.
     *
     * @param tokens prompt tokens that had to be read before it
     * @param millis time since the request was sent, in milliseconds
     * @param weight weight of the observation
     * @return the extended evidence
     */
    EngineEvidence withReading(double tokens, double millis, double weight) {
        FitSums extended = reading.with(tokens, millis, weight);
        return new EngineEvidence(service, extended, pacing, runs, runMillis);
    }

    /**
     * Returns the evidence with the pauses of one more answer.
     *
     * @param running requests in flight at the upstream while the answer was sent
     * @param millis mean pause, in milliseconds
     * @param weight weight of the observation
     * @return the extended evidence
     */
    EngineEvidence withPause(double running, double millis, double weight) {
        FitSums extended = pacing.with(running, millis, weight);
        return new EngineEvidence(service, reading, extended, runs, runMillis);
    }

    /**
     * Returns the evidence with one more request that ran to its end.
     *
     * @param millis its duration, in milliseconds
     * @return the extended evidence
     */
    EngineEvidence withRun(double millis) {
        return new EngineEvidence(service, reading, pacing, runs + 1, runMillis + millis);
    }

    /**
     * Returns the sum of this evidence and other evidence.
     *
     * @param other evidence on the same service
     * @return their sum
     */
    public EngineEvidence plus(EngineEvidence other) {
        return new EngineEvidence(
                service,
                reading.plus(other.reading),
                pacing.plus(other.pacing),
                runs + other.runs,
                runMillis + other.runMillis);
    }

    /**
     * Returns this evidence with all weights reduced.
     *
     * @param factor from 0 to 1
     * @return the new evidence
     */
    public EngineEvidence times(double factor) {
        return new EngineEvidence(
                service,
                reading.times(factor),
                pacing.times(factor),
                runs * factor,
                runMillis * factor);
    }

    /**
     * Returns whether figures reported by another process are within the possible range.
     *
     * @return false if a component is missing, or a figure is negative, not a number or too large
     */
    public boolean isValid() {
        return service != null
                && reading != null
                && pacing != null
                && reading.isValid()
                && pacing.isValid()
                && runs >= 0
                && runMillis >= 0
                && runMillis <= runs * MAX_RUN_MILLIS;
    }
}
