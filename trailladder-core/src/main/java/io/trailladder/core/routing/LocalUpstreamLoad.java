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
 * One upstream's load as an entry sees it: its last report, corrected by the entry's own requests
 * that the report cannot know of yet.
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
     * @param uncachedTokens prompt tokens it must compute
     * @param nowMillis the time
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
     * Takes over a load report.
     *
     * @param latest the report
     * @param nowMillis the time
     */
    public void reported(LoadReport latest, long nowMillis) {
        report = latest;
        netSentSinceReport = 0;
        queuedTokens = latest.queuedPromptTokens();
        queuedTokensAtMillis = nowMillis;
    }

    /**
     * Records a failed attempt: the upstream is avoided for a while, longer with every failure in a
     * row.
     *
     * @param nowMillis the time
     */
    public void failed(long nowMillis) {
        failureStreak = Math.min(failureStreak + 1, 6);
        suspectUntilMillis = nowMillis + (100L << failureStreak);
    }

    /** Records a good answer, which ends suspicion. */
    public void succeeded() {
        failureStreak = 0;
        suspectUntilMillis = 0;
    }

    /**
     * Tells whether the upstream failed lately. A hint for routing only.
     *
     * @param nowMillis the time
     * @return true while it is to be avoided
     */
    public boolean suspect(long nowMillis) {
        return nowMillis < suspectUntilMillis;
    }

    /**
     * Predicts how long a new request waits before its prompt is computed.
     *
     * @param maxTokens tokens an average request in front of it generates
     * @param nowMillis the time
     * @return milliseconds
     */
    public double queueMillis(int maxTokens, long nowMillis) {
        double prefill = prefillMillis((int) queuedTokens(nowMillis));
        double slotMillis = (double) maxTokens * report.tokenMillis() / report.slots();
        return prefill + waitingAhead() * slotMillis;
    }

    /**
     * Predicts how long the upstream takes to compute prompt tokens.
     *
     * @param tokens how many
     * @return milliseconds
     */
    public double prefillMillis(int tokens) {
        return tokens * MILLIS_PER_SECOND / report.prefillTokensPerSecond();
    }

    /**
     * Tells whether the upstream's queue is as long as it may get.
     *
     * @return true if as many requests wait as it has slots
     */
    public boolean full() {
        return waitingAhead() >= report.slots();
    }

    /**
     * Returns this entry's requests at the upstream.
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

    /** Prompt tokens not yet computed, assuming that the upstream has worked on them since. */
    private double queuedTokens(long nowMillis) {
        double computed =
                (nowMillis - queuedTokensAtMillis)
                        * report.prefillTokensPerSecond()
                        / MILLIS_PER_SECOND;
        return Math.max(0, queuedTokens - computed);
    }
}
