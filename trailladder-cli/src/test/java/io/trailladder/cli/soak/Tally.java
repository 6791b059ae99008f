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
package io.trailladder.cli.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** The first tries of the callers of one gateway that began in a span of time. */
final class Tally {
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private int fastCalls;
    private int mostFastCalls;

    void served() {
        asked.incrementAndGet();
        served.incrementAndGet();
    }

    /** Counts a try that failed; says what it was, for the report of a failed test. */
    void failed(String what) {
        asked.incrementAndGet();
        failures.add(what);
    }

    /** Notes whether a plain call, counted or not, took no longer than at a warmed-up gateway. */
    synchronized void called(boolean fast) {
        fastCalls = fast ? fastCalls + 1 : 0;
        mostFastCalls = Math.max(mostFastCalls, fastCalls);
    }

    /** Returns the largest number of plain calls in a row that were fast. */
    synchronized int mostFastCalls() {
        return mostFastCalls;
    }

    int asked() {
        return asked.get();
    }

    double share() {
        return asked.get() == 0 ? 0 : (double) served.get() / asked.get();
    }

    @Override
    public String toString() {
        return served + " of " + asked + (failures.isEmpty() ? "" : " " + failures);
    }
}
