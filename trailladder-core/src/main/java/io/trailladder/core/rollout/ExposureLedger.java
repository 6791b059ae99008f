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
 * Limits the requests that one process sends to a new version before the order's deadline, whatever
 * is known of the version. Samples and the switch use the same share.
 *
 * <p>Each process exposes a fixed share of its own requests, and of no other's. All processes
 * together therefore stay within the bound whatever they have received from each other: while
 * digests are late, hubs are lost or a data centre is cut off, and also when a process restarts and
 * has lost its counts, because each incarnation keeps to the share of its own requests.
 *
 * <p>The share of a few requests is less than one request, so each incarnation starts with a random
 * fraction of a request as credit. All incarnations together then use the share on average, instead
 * of up to one request less each. The deviation is a few requests, and at most one for each
 * incarnation.
 *
 * @since 0.4
 */
public final class ExposureLedger {
    /**
     * Part of the bound that samples and the switch may use together. The rest covers requests that
     * are counted here as sent but never reach an upstream, and requests near the start and the end
     * of the order's time.
     */
    private static final double EXPOSED_PART = 0.9;

    /** Part of the bound that samples may use; the rest is left for the switch. */
    private static final double SAMPLED_PART = 0.75;

    /**
     * Lowest allowance at which incarnations start with a credit. With 100 processes that restart
     * once, the total exceeds the shares by more than 25 requests in one of a thousand cases.
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
     * @param bound share of a service's requests that a bad version may get, from 0 to 1
     * @param credit requests added to the share of this incarnation, below 1
     */
    public ExposureLedger(double bound, double credit) {
        this.bound = bound;
        this.exposedShare = EXPOSED_PART * bound;
        this.sampledShare = SAMPLED_PART * bound;
        this.credit = credit;
    }

    /**
     * Creates the ledger of a new incarnation.
     *
     * @param bound share of a service's requests that a bad version may get, from 0 to 1
     * @param allowance requests that it may get in addition, over all processes
     * @param random draws the credit of the incarnation
     * @return a ledger without any requests
     */
    public static ExposureLedger of(double bound, double allowance, SplittableRandom random) {
        return new ExposureLedger(
                bound, allowance >= MIN_ALLOWANCE_FOR_CREDIT ? random.nextDouble() : 0);
    }

    /** Records that the new version was chosen for a request, which may never reach it. */
    public void chosen() {
        exposed++;
    }

    /** Records that a request, first or repeated, is sent to either version. */
    public void sent() {
        sent++;
    }

    /**
     * Returns whether the next request may be a sample.
     *
     * @return true if it stays within the share of the samples
     */
    public boolean maySample() {
        return exposed + 1 <= sampledShare * (sent + 1) + credit;
    }

    /**
     * Returns whether the next request may go to the new version during the switch.
     *
     * @return true if it stays within the whole share
     */
    public boolean mayExpose() {
        return exposed + 1 <= exposedShare * (sent + 1) + credit;
    }

    /**
     * Returns the share of a service's requests that a bad version may get.
     *
     * @return a share, from 0 to 1
     */
    public double bound() {
        return bound;
    }

    /**
     * Returns the share of the requests that samples use in the long run.
     *
     * @return a share, from 0 to 1
     */
    public double sampledShare() {
        return sampledShare;
    }

    /**
     * Returns how long all requests may go to the new version, at a constant rate, after samples
     * were taken for some time.
     *
     * @param sampledMillis how long samples were taken, in milliseconds
     * @return a time, in milliseconds
     */
    public long affordableMillis(long sampledMillis) {
        return Math.round((exposedShare - sampledShare) * sampledMillis);
    }

    /**
     * Returns the number of requests sent to the service since the order.
     *
     * @return a count
     */
    public int sentRequests() {
        return sent;
    }

    /**
     * Returns the number of requests for which the new version was chosen.
     *
     * @return a count
     */
    public int exposedRequests() {
        return exposed;
    }
}
