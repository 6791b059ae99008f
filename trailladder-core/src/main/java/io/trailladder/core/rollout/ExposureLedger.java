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

/**
 * Keeps one process within its part of the requests that a version may get before it is found good.
 *
 * <p>Each process spends a fixed part of its own requests and no other's. So all processes together
 * stay within the bound whatever they have heard of each other: while digests are late, hubs are
 * lost or a data centre is cut off, and also when a process starts anew and has forgotten what it
 * spent, because each life keeps the part of its own requests.
 *
 * @since 0.4
 */
public final class ExposureLedger {
    /**
     * Part of the bound that is spent. The rest is for requests that are counted here but never
     * reach an upstream, and for those counted at the edges of the order's time.
     */
    private static final double SPENT_PART = 0.75;

    /** Part of the allowance on top that all processes together may spend. */
    private static final double SPENT_ALLOWANCE = 0.5;

    private final double share;
    private final double allowance;
    private int sent;
    private int exposed;

    /**
     * Creates a ledger.
     *
     * @param bound part of a service's requests that a bad version may get
     * @param allowance requests that it may get on top, over all processes; 0 for a process that
     *     others may have run before, which could have spent its part of them already
     * @param processes how many processes there are
     */
    public ExposureLedger(double bound, double allowance, int processes) {
        this.share = SPENT_PART * bound;
        this.allowance = Math.floor(SPENT_ALLOWANCE * allowance / Math.max(1, processes));
    }

    /**
     * Records a request that is sent, first or repeated.
     *
     * @param isTarget true if it goes to the version under test
     */
    public void sent(boolean isTarget) {
        sent++;
        exposed += isTarget ? 1 : 0;
    }

    /**
     * Tells whether the next request may go to the version under test.
     *
     * @return true if the part stays kept with it
     */
    public boolean mayExpose() {
        return exposed + 1 <= share * (sent + 1) + allowance;
    }

    /**
     * Returns the part of the requests that is spent in the long run.
     *
     * @return from 0 to 1
     */
    public double spentShare() {
        return share;
    }

    /**
     * Returns the requests sent to the service since the order.
     *
     * @return a count
     */
    public int sent() {
        return sent;
    }

    /**
     * Returns those that went to the version under test.
     *
     * @return a count
     */
    public int exposed() {
        return exposed;
    }
}
