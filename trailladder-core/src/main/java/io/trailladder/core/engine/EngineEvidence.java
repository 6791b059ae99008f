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
 * What one process, or several, saw of the upstreams of a service lately. Older observations count
 * less.
 *
 * @param service the service
 * @param reading milliseconds to the first event over prompt tokens that had to be read before it
 * @param pacing milliseconds between two events over requests under way at the upstream
 * @param runs how many requests ran to their end
 * @param runMillis how long they took in sum, in milliseconds
 * @since 0.3
 */
public record EngineEvidence(
        String service, FitSums reading, FitSums pacing, double runs, double runMillis) {
    private static final double MAX_RUN_MILLIS = 1e6;

    /**
     * Returns empty evidence.
     *
     * @param service the service
     * @return evidence of nothing
     */
    public static EngineEvidence none(String service) {
        return new EngineEvidence(service, FitSums.NONE, FitSums.NONE, 0, 0);
    }

    /**
     * Returns the evidence with one more first event.
     *
     * @param tokens prompt tokens that had to be read before it
     * @param millis time since the request was sent, in milliseconds
     * @param weight how much it counts
     * @return the new evidence
     */
    EngineEvidence withReading(double tokens, double millis, double weight) {
        FitSums more = reading.with(tokens, millis, weight);
        return new EngineEvidence(service, more, pacing, runs, runMillis);
    }

    /**
     * Returns the evidence with the pauses of one more answer.
     *
     * @param running requests under way at the upstream meanwhile
     * @param millis mean pause, in milliseconds
     * @param weight how much it counts
     * @return the new evidence
     */
    EngineEvidence withPause(double running, double millis, double weight) {
        FitSums more = pacing.with(running, millis, weight);
        return new EngineEvidence(service, reading, more, runs, runMillis);
    }

    /**
     * Returns the evidence with one more request that ran to its end.
     *
     * @param millis how long it took, in milliseconds
     * @return the new evidence
     */
    EngineEvidence withRun(double millis) {
        return new EngineEvidence(service, reading, pacing, runs + 1, runMillis + millis);
    }

    /**
     * Returns the evidence of both.
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
     * Returns the evidence with less weight.
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
     * Tells whether figures told by another process can be true.
     *
     * @return false if one is negative, not a number or absurdly large
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
