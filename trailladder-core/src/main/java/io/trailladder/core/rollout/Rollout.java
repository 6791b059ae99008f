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

import io.trailladder.core.upstream.Upstream;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The view that one process has of a roll-out: which upstreams a request may go to, what was
 * observed of both versions, and what is sent to the other processes.
 *
 * <p>A process that observes by itself that the version is bad sends it no more requests at once. A
 * process that has received no round of the leader for {@link #LEADER_TIMEOUT_MILLIS} sends it none
 * either, so that no process goes on with a version that the others have found bad.
 *
 * <pre>{@code
 * Rollout rollout = new Rollout(order, ledger, nowMillis);
 * List<Upstream> candidates = rollout.admitted(directory.serving("chat"), true, nowMillis);
 * rollout.chosen(candidates.get(0));
 * rollout.sent();
 * }</pre>
 *
 * @since 0.4
 */
public final class Rollout {
    /**
     * Time after the leader's last round for which the new version is still sampled, in
     * milliseconds. This is ten digests, and well below the 5 s within which requests to a bad
     * version must stop.
     */
    public static final long LEADER_TIMEOUT_MILLIS = 2_000;

    /**
     * Time after the completion for which only the new version is chosen, in milliseconds. Entries
     * of stopped upstreams stay listed for three heartbeats of 1.2 s and the delay of the list.
     */
    private static final long SETTLING_MILLIS = 10_000;

    /** Deadline of an order whose age is not known; far enough from the limits to allow sums. */
    private static final long UNKNOWN_DEADLINE_MILLIS = Long.MAX_VALUE / 4;

    private static final String FIRST_EVENT = "first/";
    private static final String EVENT_INTERVAL = "pause/";

    private RolloutOrder order;
    private final ExposureLedger ledger;
    private final LatencyBaseline baseline = new LatencyBaseline();
    private final Map<String, RouteEvidence> evidenceByRoute = new TreeMap<>();
    private final SharedDelay delay = new SharedDelay();
    private RolloutPhase phase = RolloutPhase.SAMPLING;
    private final long knownSinceMillis;
    private long deadlineMillis;
    private long round;
    private long lastRoundMillis = Long.MIN_VALUE / 2;
    private long resultMillis;
    private final Set<String> oldVersions = new HashSet<>();

    /**
     * Creates the view of a roll-out whose order was just written.
     *
     * @param order the order
     * @param ledger limits the requests to the new version
     * @param nowMillis the current time, in milliseconds
     */
    public Rollout(RolloutOrder order, ExposureLedger ledger, long nowMillis) {
        this.order = order;
        this.ledger = ledger;
        this.knownSinceMillis = nowMillis;
        this.deadlineMillis = nowMillis + order.durationMillis();
    }

    /**
     * Creates the view of a roll-out whose order was found in the store by a process that has just
     * started, or was reported by a peer. Its deadline is known once a peer reports it: counting
     * the order's duration from now could turn a deadline that has passed into one in the future.
     *
     * @param order the order
     * @param ledger limits the requests to the new version
     * @param nowMillis the current time, in milliseconds
     * @return a view without a deadline
     */
    public static Rollout ofUnknownAge(RolloutOrder order, ExposureLedger ledger, long nowMillis) {
        Rollout rollout = new Rollout(order, ledger, nowMillis);
        rollout.deadlineMillis = UNKNOWN_DEADLINE_MILLIS;
        return rollout;
    }

    /**
     * Returns the order.
     *
     * @return the order of this roll-out
     */
    public RolloutOrder order() {
        return order;
    }

    /**
     * Replaces the order by the same one with another revision, after the history of the store was
     * replaced.
     *
     * @param same an order that differs from this one in its revision only
     */
    public void renumbered(RolloutOrder same) {
        order = same;
    }

    /**
     * Returns the phase.
     *
     * @return the phase that this process knows
     */
    public RolloutPhase phase() {
        return phase;
    }

    /**
     * Returns the deadline of the order. It is never before the true deadline, because each process
     * that counts the duration has read the order after it was written.
     *
     * @return a time in milliseconds; far in the future while the deadline is not known
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns whether the deadline of the order is known.
     *
     * @return false if no process that can be reached read the order when it was written
     */
    public boolean isDeadlineKnown() {
        return deadlineMillis < UNKNOWN_DEADLINE_MILLIS / 2;
    }

    /**
     * Returns when this process learned of the order.
     *
     * @return a time, in milliseconds
     */
    public long knownSinceMillis() {
        return knownSinceMillis;
    }

    /**
     * Returns the ledger of the requests that this process sent to the new version.
     *
     * @return the ledger
     */
    public ExposureLedger ledger() {
        return ledger;
    }

    /**
     * Returns whether an upstream runs the version that the order names.
     *
     * @param upstream the upstream
     * @return true for the new version
     */
    public boolean isTarget(Upstream upstream) {
        return upstream.version().equals(order.version());
    }

    /**
     * Returns the upstreams that a request may go to now. A request that has already failed at an
     * upstream is not used as a sample: it goes to the old version as long as one serves.
     *
     * @param serving upstreams of the service that accept new requests
     * @param first false for a request that has already failed at an upstream
     * @param nowMillis the current time, in milliseconds
     * @return some of the upstreams, possibly none
     */
    public List<Upstream> admitted(List<Upstream> serving, boolean first, long nowMillis) {
        recordOldVersions(serving);
        return switch (phase) {
            case SAMPLING ->
                    first && maySample(nowMillis)
                            ? sampleOrOld(serving)
                            : oldOrRemaining(serving, nowMillis);
            case SWITCHING ->
                    maySwitch(nowMillis)
                            ? targetOrOld(serving)
                            : oldOrRemaining(serving, nowMillis);
            case COMPLETED -> completed(serving, nowMillis);
            case HALTED, ROLLED_BACK -> old(serving);
        };
    }

    private void recordOldVersions(List<Upstream> serving) {
        if (phase.isFinal()) {
            return;
        }
        for (Upstream upstream : serving) {
            if (!isTarget(upstream)) {
                oldVersions.add(upstream.version());
            }
        }
    }

    private boolean maySample(long nowMillis) {
        return mayExpose(nowMillis) && ledger.maySample();
    }

    private boolean maySwitch(long nowMillis) {
        return mayExpose(nowMillis) && ledger.mayExpose();
    }

    /**
     * Returns whether the new version may get more requests now. After the deadline it may not
     * until the result is recorded: another process may have recorded one that is not yet known
     * here.
     */
    private boolean mayExpose(long nowMillis) {
        return isLeaderReachable(nowMillis) && nowMillis < deadlineMillis;
    }

    /**
     * Returns the upstreams after the completion. The old version has stopped, so requests that
     * exceed the share of the new version have to wait.
     */
    private List<Upstream> completed(List<Upstream> serving, long nowMillis) {
        boolean allowed = waitMillis(nowMillis) == 0 || ledger.mayExpose();
        return allowed ? afterCompletion(serving, nowMillis) : List.of();
    }

    /**
     * Returns how long requests beyond the share of the new version have to wait, because the old
     * version has stopped and the deadline has not passed.
     *
     * @param nowMillis the current time, in milliseconds
     * @return a time in milliseconds; 0 if no request has to wait
     */
    public long waitMillis(long nowMillis) {
        if (phase != RolloutPhase.COMPLETED) {
            return 0;
        }
        long until =
                Math.min(deadlineMillis, resultMillis + RolloutController.COMPLETION_LEAD_MILLIS);
        return Math.max(0, until - nowMillis);
    }

    private List<Upstream> sampleOrOld(List<Upstream> serving) {
        List<Upstream> target = target(serving);
        return target.isEmpty() ? old(serving) : sampleUpstreams(target);
    }

    private List<Upstream> targetOrOld(List<Upstream> serving) {
        List<Upstream> target = target(serving);
        return target.isEmpty() ? old(serving) : target;
    }

    /**
     * Excludes the versions that the new one replaced. Versions that appear later are not excluded,
     * because they replace the new one.
     */
    private List<Upstream> afterCompletion(List<Upstream> serving, long nowMillis) {
        if (nowMillis - resultMillis < SETTLING_MILLIS) {
            return targetOrOld(serving);
        }
        List<Upstream> later =
                serving.stream()
                        .filter(upstream -> !oldVersions.contains(upstream.version()))
                        .toList();
        return later.isEmpty() ? serving : later;
    }

    private List<Upstream> target(List<Upstream> serving) {
        return serving.stream().filter(this::isTarget).toList();
    }

    /**
     * Returns the old version, or all upstreams if it no longer serves and the deadline has passed:
     * a process that is cut off and receives no result then uses what remains.
     */
    private List<Upstream> oldOrRemaining(List<Upstream> serving, long nowMillis) {
        List<Upstream> old = old(serving);
        return old.isEmpty() && nowMillis > deadlineMillis ? serving : old;
    }

    /** Returns all but the new version, or all if no other version ever served beside it. */
    private List<Upstream> old(List<Upstream> serving) {
        if (oldVersions.isEmpty() && phase != RolloutPhase.ROLLED_BACK) {
            return serving;
        }
        return serving.stream().filter(upstream -> !isTarget(upstream)).toList();
    }

    /**
     * Returns the upstreams of the sample. There are few, so that the few sampled requests give
     * each of them its future load, and a fault that appears only under load appears in the sample.
     */
    private List<Upstream> sampleUpstreams(List<Upstream> target) {
        int count = (int) Math.floor(target.size() * ledger.sampledShare());
        return target.stream()
                .sorted(Comparator.comparing(Upstream::id))
                .limit(Math.max(1, count))
                .toList();
    }

    private boolean isLeaderReachable(long nowMillis) {
        return nowMillis - lastRoundMillis <= LEADER_TIMEOUT_MILLIS;
    }

    /**
     * Records that an upstream was chosen for a request, first or repeated. The request counts
     * against the share of the new version at once, so that requests not yet sent cannot use the
     * same share.
     *
     * @param upstream the upstream
     */
    public void chosen(Upstream upstream) {
        if (isTarget(upstream)) {
            ledger.chosen();
        }
    }

    /** Records that a request is sent to an upstream to which a connection was made. */
    public void sent() {
        ledger.sent();
    }

    /**
     * Records how a request ended. Answers of a cold upstream are not rated late or slow, and an
     * answer that was broken off counts only if it failed or was late.
     *
     * @param upstream the upstream
     * @param answer how the request ended
     * @param nowMillis the current time, in milliseconds
     * @return the rating of the answer
     */
    public AnswerRating answered(Upstream upstream, AnswerObservation answer, long nowMillis) {
        boolean isTarget = isTarget(upstream);
        boolean warm = upstream.coldRemainingMillis() <= 0;
        boolean late = warm && LatencyBaseline.isLate(slowdown(answer));
        if (!answer.complete() && !late && !answer.failed()) {
            return AnswerRating.NOT_COUNTED;
        }
        if (!isTarget && !answer.failed()) {
            recordBaseline(answer);
        }
        boolean bad = late || answer.failed();
        boolean slow = warm && LatencyBaseline.isSlow(slowdown(answer));
        if (late && !answer.failed()) {
            long begunMillis = nowMillis - (long) answer.firstEventMillis();
            delay.late(answer.route(), isTarget, begunMillis, nowMillis).forEach(this::count);
        } else {
            if (!isTarget) {
                delay.oldOnTime();
            }
            count(RouteEvidence.none(answer.route()).with(isTarget, bad, slow));
        }
        if (isTarget && (bad || slow) && !phase.isFinal() && VersionEvaluator.isBad(evidence())) {
            phase = phase.merge(RolloutPhase.HALTED);
        }
        return AnswerRating.of(bad, slow);
    }

    private void count(RouteEvidence more) {
        evidenceByRoute.merge(more.route(), more, RouteEvidence::plus);
    }

    /**
     * Returns the slowdown of the first event or of the interval between events, whichever is
     * higher.
     */
    private double slowdown(AnswerObservation answer) {
        double first =
                baseline.slowdown(
                        answer.route(),
                        FIRST_EVENT,
                        answer.firstEventMillis(),
                        answer.predictedMillis());
        return answer.eventIntervalMillis() > 0
                ? Math.max(
                        first,
                        baseline.slowdown(
                                answer.route(), EVENT_INTERVAL, answer.eventIntervalMillis(), 0))
                : first;
    }

    private void recordBaseline(AnswerObservation answer) {
        baseline.observe(
                answer.route(), FIRST_EVENT, answer.firstEventMillis(), answer.predictedMillis());
        if (answer.eventIntervalMillis() > 0) {
            baseline.observe(answer.route(), EVENT_INTERVAL, answer.eventIntervalMillis(), 0);
        }
    }

    /**
     * Returns what this process has observed. Late answers may be removed again if the old version
     * turns out to have been late at the same time.
     *
     * @return its evidence, by route
     */
    public List<RouteEvidence> evidence() {
        return RouteEvidence.sum(
                Stream.concat(evidenceByRoute.values().stream(), delay.counted().stream()));
    }

    /**
     * Returns the update for another process.
     *
     * @param evidence what this process and those it represents have observed; empty to send none
     * @param nowMillis the current time, in milliseconds
     * @return the update
     */
    public RolloutUpdate update(List<RouteEvidence> evidence, long nowMillis) {
        return new RolloutUpdate(order, phase, deadlineMillis - nowMillis, round, evidence);
    }

    /**
     * Merges an update of another process about the same order.
     *
     * @param update the update
     * @param nowMillis the current time, in milliseconds
     */
    public void received(RolloutUpdate update, long nowMillis) {
        moveTo(phase.merge(update.phase()), nowMillis);
        deadlineMillis = Math.min(deadlineMillis, nowMillis + update.remainingMillis());
        if (update.round() > round) {
            round = update.round();
            lastRoundMillis = nowMillis;
        }
    }

    /**
     * Applies the record in the store, which overrides what processes report.
     *
     * @param status the record
     * @param nowMillis the current time, in milliseconds
     */
    public void recorded(RolloutStatus status, long nowMillis) {
        if (!status.isAbout(order)) {
            return;
        }
        switch (status.state()) {
            case COMPLETED -> moveTo(RolloutPhase.COMPLETED, nowMillis);
            case ROLLED_BACK -> moveTo(RolloutPhase.ROLLED_BACK, nowMillis);
            case NONE, IN_PROGRESS -> {}
        }
    }

    /**
     * Stops all requests to the new version, because the order was withdrawn.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void withdrawn(long nowMillis) {
        moveTo(phase.merge(RolloutPhase.HALTED), nowMillis);
    }

    private void moveTo(RolloutPhase next, long nowMillis) {
        if (next != phase && next.isFinal()) {
            resultMillis = nowMillis;
        }
        phase = next;
    }

    /**
     * Applies a decision of the leader. Must be called on the leader only, a few times a second.
     *
     * @param decided the phase to go on with
     * @param nowMillis the current time, in milliseconds
     */
    public void lead(RolloutPhase decided, long nowMillis) {
        moveTo(phase.merge(decided), nowMillis);
        round++;
        lastRoundMillis = nowMillis;
    }
}
