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
package io.trailladder.entry.gateway;

import java.util.EnumMap;
import java.util.Map;

/** Sums of one organisation's units at one process. */
final class LimitUseCount {
    private final Map<LimitBasis, Double> admitted = new EnumMap<>(LimitBasis.class);
    private double furtherTries;
    private double sentLate;
    private long refused;
    private long unanswered;

    void admit(LimitBasis basis, double units) {
        admitted.merge(basis, units, Double::sum);
    }

    void refuse() {
        refused++;
    }

    void unanswered() {
        unanswered++;
    }

    void sendAgain(double units) {
        furtherTries += units;
    }

    void sendLate(double units) {
        sentLate += units;
    }

    /** Returns the admitted units of a basis. */
    double admitted(LimitBasis basis) {
        return admitted.getOrDefault(basis, 0.0);
    }

    /** Returns all admitted units. */
    double admitted() {
        return admitted.values().stream().mapToDouble(units -> units).sum();
    }

    /** Returns the units of requests that were sent to an upstream once more. */
    double furtherTries() {
        return furtherTries;
    }

    /** Returns the units of requests that were first sent long after they were admitted. */
    double sentLate() {
        return sentLate;
    }

    /** Returns the number of refused requests. */
    long refused() {
        return refused;
    }

    /** Returns the number of requests for units that another process did not answer in time. */
    long unansweredRequests() {
        return unanswered;
    }

    /** Returns whether anything but admission on the word of the other processes happened. */
    boolean isUnusual() {
        return refused > 0
                || unanswered > 0
                || furtherTries > 0
                || sentLate > 0
                || admitted() > admitted(LimitBasis.SHARED);
    }
}
