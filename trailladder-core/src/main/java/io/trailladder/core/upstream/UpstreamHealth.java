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

/**
 * The recent failures of one upstream, as observed by the requests sent to it.
 *
 * <p>An upstream that fails a large fraction of its recent requests is ejected for a while; each
 * further ejection right after its return doubles the time, up to a maximum.
 */
final class UpstreamHealth {
    private static final double HALF_LIFE_MILLIS = 4_000;
    private static final double MIN_FAILURES = 1.6;
    private static final double EJECTION_FAILED_FRACTION = 0.25;
    private static final long FIRST_EJECTION_MILLIS = 2_000;
    private static final long MAX_EJECTION_MILLIS = 8_000;

    private double failures;
    private double successes;
    private long updatedMillis;
    private long ejectedUntilMillis;
    private long ejectionMillis = FIRST_EJECTION_MILLIS;

    void succeeded(long nowMillis) {
        decay(nowMillis);
        successes++;
        if (nowMillis >= ejectedUntilMillis && failedFraction() < EJECTION_FAILED_FRACTION / 2) {
            ejectionMillis = FIRST_EJECTION_MILLIS;
        }
    }

    void failed(long nowMillis) {
        decay(nowMillis);
        failures++;
        if (failures >= MIN_FAILURES && failedFraction() >= EJECTION_FAILED_FRACTION) {
            eject(nowMillis);
        }
    }

    /** Records that a connection to the upstream failed, which ejects it at once. */
    void unreachable(long nowMillis) {
        decay(nowMillis);
        failures++;
        eject(nowMillis);
    }

    boolean ejected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    double failedFraction() {
        double total = failures + successes;
        return total == 0 ? 0 : failures / total;
    }

    private void eject(long nowMillis) {
        if (ejected(nowMillis)) {
            return;
        }
        ejectedUntilMillis = nowMillis + ejectionMillis;
        ejectionMillis = Math.min(MAX_EJECTION_MILLIS, ejectionMillis * 2);
    }

    private void decay(long nowMillis) {
        double factor =
                StrictMath.pow(0.5, Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
        failures *= factor;
        successes *= factor;
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }
}
