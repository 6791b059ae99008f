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
package io.trailladder.core.routing;

/**
 * The load of one upstream as estimated by an entry: the upstream's last report, corrected by the
 * entry's own requests since.
 *
 * @since 0.1
 */
public final class LocalUpstreamLoad {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private LoadReport report = LoadReport.UNKNOWN;
    private int inFlight;
    private int netSentSinceReport;
    private long queuedTokensAtMillis;
    private double queuedTokens;
    private int failureStreak;
    private long suspectUntilMillis;

    /**
     * Records a request sent to the upstream.
     *
     * @param uncachedTokens prompt tokens that the upstream must compute
     * @param nowMillis the current time, in milliseconds
     */
    public void sent(int uncachedTokens, long nowMillis) {
        inFlight++;
        netSentSinceReport++;
        queuedTokens = queuedTokens(nowMillis) + uncachedTokens;
        queuedTokensAtMillis = nowMillis;
    }

    /** Records that a request sent to the upstream has ended. */
    public void ended() {
        inFlight = Math.max(0, inFlight - 1);
        netSentSinceReport--;
    }

    /**
     * Replaces the last load report.
     *
     * @param latest the report
     * @param nowMillis the current time, in milliseconds
     */
    public void reported(LoadReport latest, long nowMillis) {
        report = latest;
        netSentSinceReport = 0;
        queuedTokens = latest.queuedPromptTokens();
        queuedTokensAtMillis = nowMillis;
    }

    /**
     * Records a failed attempt. The upstream is avoided for 200 ms after the first failure, and for
     * twice as long after each further one in a row, up to 6.4 s.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void failed(long nowMillis) {
        failureStreak = Math.min(failureStreak + 1, 6);
        suspectUntilMillis = nowMillis + (100L << failureStreak);
    }

    /** Records a successful answer, after which the upstream is no longer avoided. */
    public void succeeded() {
        failureStreak = 0;
        suspectUntilMillis = 0;
    }

    /**
     * Returns whether the upstream failed recently. Used only as a hint for routing.
     *
     * @param nowMillis the current time, in milliseconds
     * @return true while the upstream is to be avoided
     */
    public boolean suspect(long nowMillis) {
        return nowMillis < suspectUntilMillis;
    }

    /**
     * Returns the predicted wait of a new request before its prompt is computed.
     *
     * @param maxTokens tokens that an average request ahead of it generates
     * @param nowMillis the current time, in milliseconds
     * @return milliseconds
     */
    public double queueMillis(int maxTokens, long nowMillis) {
        double prefill = prefillMillis((int) queuedTokens(nowMillis));
        double slotMillis = (double) maxTokens * report.tokenMillis() / report.slots();
        return prefill + waitingAhead() * slotMillis;
    }

    /**
     * Returns the predicted time that the upstream takes to compute prompt tokens.
     *
     * @param tokens number of prompt tokens
     * @return milliseconds
     */
    public double prefillMillis(int tokens) {
        return tokens * MILLIS_PER_SECOND / report.prefillTokensPerSecond();
    }

    /**
     * Returns whether the upstream's queue has its maximum length.
     *
     * @return true if as many requests wait as the upstream has slots
     */
    public boolean full() {
        return waitingAhead() >= report.slots();
    }

    /**
     * Returns the number of this entry's requests at the upstream.
     *
     * @return requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    private int waitingAhead() {
        int reported = report.running() + report.waiting() + netSentSinceReport;
        int busy = Math.max(reported, inFlight);
        return Math.max(0, busy - report.slots() + 1);
    }

    /**
     * Returns the prompt tokens not yet computed, assuming that the upstream has computed at its
     * reported rate since the last update.
     */
    private double queuedTokens(long nowMillis) {
        double computed =
                (nowMillis - queuedTokensAtMillis)
                        * report.prefillTokensPerSecond()
                        / MILLIS_PER_SECOND;
        return Math.max(0, queuedTokens - computed);
    }
}
