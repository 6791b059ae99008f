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
package io.trailladder.core.rollout;

import java.util.SplittableRandom;

/**
 * Keeps one process within its part of the requests that a version may get before the order's
 * deadline, whatever is believed of the version: samples and the switch spend from the same part.
 *
 * <p>Each process spends a fixed part of its own requests and no other's. So all processes together
 * stay within the bound whatever they have heard of each other: while digests are late, hubs are
 * lost or a data centre is cut off, and also when a process starts anew and has forgotten what it
 * spent, because each life keeps the part of its own requests.
 *
 * <p>A part of a few requests is less than one, so each life begins with a random piece of a
 * request: all lives together then spend what the part gives, and not a whole request less each.
 * What they spend more by chance is a few requests, and never more than one a life.
 *
 * @since 0.4
 */
public final class ExposureLedger {
    /**
     * Part of the bound that samples and switch may spend together. The rest is for requests that
     * are counted here as sent but never reach an upstream, and for those counted at the edges of
     * the order's time.
     */
    private static final double EXPOSED_PART = 0.9;

    /** Part of the bound that samples may spend; what they leave pays for the switch. */
    private static final double SAMPLED_PART = 0.75;

    /**
     * Requests on top without which no life begins with a piece of one. By chance the lives of 100
     * processes that start once more exceed their parts by more than 25 once in a thousand times.
     */
    private static final double MIN_ALLOWANCE_FOR_CREDIT = 25;

    private final double bound;
    private final double exposedShare;
    private final double sampledShare;
    private final double credit;
    private int sent;
    private int exposed;

    /**
     * Creates a ledger.
     *
     * @param bound part of a service's requests that a bad version may get
     * @param credit what is added to the part of this life's requests, in requests, below 1
     */
    public ExposureLedger(double bound, double credit) {
        this.bound = bound;
        this.exposedShare = EXPOSED_PART * bound;
        this.sampledShare = SAMPLED_PART * bound;
        this.credit = credit;
    }

    /**
     * Creates the ledger of a new life.
     *
     * @param bound part of a service's requests that a bad version may get
     * @param allowance requests that it may get on top, over all processes
     * @param random draws the piece of a request that the life begins with
     * @return a ledger that has spent nothing
     */
    public static ExposureLedger of(double bound, double allowance, SplittableRandom random) {
        return new ExposureLedger(bound, allowance >= MIN_ALLOWANCE_FOR_CREDIT ? random.nextDouble() : 0);
    }

    /** Records that the version under test was chosen for a request, which may never reach it. */
    public void chosen() {
        exposed++;
    }

    /** Records that a request, first or repeated, leaves for either version. */
    public void sent() {
        sent++;
    }

    /**
     * Tells whether the next request may be a sample.
     *
     * @return true if the samples' part stays kept with it
     */
    public boolean maySample() {
        return exposed + 1 <= sampledShare * (sent + 1) + credit;
    }

    /**
     * Tells whether the next request may go to the version under test during the switch.
     *
     * @return true if the whole part stays kept with it
     */
    public boolean mayExpose() {
        return exposed + 1 <= exposedShare * (sent + 1) + credit;
    }

    /**
     * Returns the part of a service's requests that a bad version may get.
     *
     * @return from 0 to 1
     */
    public double bound() {
        return bound;
    }

    /**
     * Returns the part of the requests that samples spend in the long run.
     *
     * @return from 0 to 1
     */
    public double sampledShare() {
        return sampledShare;
    }

    /**
     * Tells for how long all requests can be paid for, at the usual rate, after samples were taken
     * for a while.
     *
     * @param sampledMillis how long samples were taken, in milliseconds
     * @return a time, in milliseconds
     */
    public long affordableMillis(long sampledMillis) {
        return Math.round((exposedShare - sampledShare) * sampledMillis);
    }

    /**
     * Returns the requests sent to the service since the order.
     *
     * @return a count
     */
    public int sentRequests() {
        return sent;
    }

    /**
     * Returns those for which the version under test was chosen.
     *
     * @return a count
     */
    public int exposedRequests() {
        return exposed;
    }
}
