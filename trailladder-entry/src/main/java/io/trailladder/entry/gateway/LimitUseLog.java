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

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Logs what this process admits within the limits of organisations: one line a second for each
 * organisation that was refused something, used more than an even part of its limit, or was
 * admitted or sent in an unusual way.
 */
final class LimitUseLog {
    /** Shortest time covered by a line, in milliseconds. */
    static final long INTERVAL_MILLIS = 1_000;

    /** Delay between admission and sending from which a request counts as late, in milliseconds. */
    private static final long LATE_MILLIS = 100;

    private final GatewayMetrics metrics;
    private final Map<String, LimitUseCount> counts = new HashMap<>();
    private LimitBasis basis = LimitBasis.SHARED;
    private long sinceMillis;

    LimitUseLog(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    /** Sets what this process knows of the others from now on. */
    void basis(LimitBasis current) {
        basis = current;
    }

    void admitted(String organisation, double units) {
        count(organisation).admit(basis, units);
        metrics.limitUnits(basis.field(), units);
    }

    void refused(String organisation) {
        count(organisation).refuse();
    }

    /** Records that a request for units was not answered in time. */
    void unanswered(String organisation) {
        count(organisation).unanswered();
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param organisation its organisation
     * @param units its size
     * @param attempt number of the attempt, from 1
     * @param waitedMillis time since the request was admitted, in milliseconds
     */
    void sent(String organisation, double units, int attempt, long waitedMillis) {
        if (attempt > 1) {
            count(organisation).sendAgain(units);
            metrics.limitUnits("furtherTries", units);
        } else if (waitedMillis >= LATE_MILLIS) {
            count(organisation).sendLate(units);
        }
    }

    /**
     * Writes the lines of the last second, if it is over.
     *
     * @param heard number of processes whose figures are known, this one included
     * @param sharing number of processes that share limits
     * @param oldestMillis age of the oldest digest that counts, in milliseconds
     * @param evenPart returns the even part of an organisation's limit for one process and second,
     *     in units
     * @param nowMillis the current time, in milliseconds
     */
    void flush(
            int heard,
            int sharing,
            long oldestMillis,
            ToDoubleFunction<String> evenPart,
            long nowMillis) {
        long elapsed = nowMillis - sinceMillis;
        if (elapsed < INTERVAL_MILLIS) {
            return;
        }
        counts.forEach(
                (organisation, count) -> {
                    if (count.isUnusual()
                            || count.admitted() > evenPart.applyAsDouble(organisation)) {
                        DecisionLog.write(
                                new LimitUse(
                                        organisation,
                                        elapsed,
                                        count,
                                        heard,
                                        sharing,
                                        oldestMillis));
                    }
                });
        counts.clear();
        sinceMillis = nowMillis;
    }

    private LimitUseCount count(String organisation) {
        return counts.computeIfAbsent(organisation, name -> new LimitUseCount());
    }
}
