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

/**
 * One roll-out as one process sees it: which upstreams a request may go to, what was seen of both
 * versions, and what the other processes are told.
 *
 * <p>A process that sees by itself that the version is bad sends it nothing more at once. A process
 * that has not heard of the leader for {@link #LEADER_TIMEOUT_MILLIS} sends it nothing either, so that
 * nobody goes on with a version that the others have found bad.
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
     * How long after the last news of the leader the new version is still sampled, in milliseconds:
     * ten digests, and well below the 5 s within which a bad version must have been left.
     */
    public static final long LEADER_TIMEOUT_MILLIS = 2_000;

    /**
     * How long after the completion only the new version is chosen, in milliseconds: entries of
     * stopped upstreams stay listed for three heartbeats of 1.2 s and the list's lag.
     */
    private static final long SETTLING_MILLIS = 10_000;

    /** Stands for a deadline that is not known. */
    private static final long UNKNOWN_DEADLINE_MILLIS = Long.MAX_VALUE / 4;

    private static final String FIRST_EVENT = "first/";
    private static final String EVENT_INTERVAL = "pause/";

    private RolloutOrder order;
    private final ExposureLedger ledger;
    private final LatencyBaseline baseline = new LatencyBaseline();
    private final Map<String, RouteEvidence> evidenceByRoute = new TreeMap<>();
    private RolloutPhase phase = RolloutPhase.SAMPLING;
    private final long knownSinceMillis;
    private long deadlineMillis;
    private long round;
    private long lastRoundMillis = Long.MIN_VALUE / 2;
    private long resultMillis;
    private final Set<String> oldVersions = new HashSet<>();

    /**
     * Creates the view of a roll-out that has just become known.
     *
     * @param order the order
     * @param ledger what may be spent on the new version
     * @param nowMillis the time
     */
    public Rollout(RolloutOrder order, ExposureLedger ledger, long nowMillis) {
        this.order = order;
        this.ledger = ledger;
        this.knownSinceMillis = nowMillis;
        this.deadlineMillis = nowMillis + order.durationMillis();
    }

    /**
     * Creates the view of a roll-out whose order was found in the store by a process that has just
     * started, or was told by a peer: its deadline is known once a peer tells it. A process that
     * counted the order's time anew could take a deadline that has passed for one to come.
     *
     * @param order the order
     * @param ledger what may be spent on the new version
     * @param nowMillis the time
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
     * @return the order it is about
     */
    public RolloutOrder order() {
        return order;
    }

    /**
     * Takes over the revision that the order has now: the store's history was replaced.
     *
     * @param same an order that is alike but for its revision
     */
    public void renumbered(RolloutOrder same) {
        order = same;
    }

    /**
     * Returns how far it has come.
     *
     * @return the phase, as this process knows it
     */
    public RolloutPhase phase() {
        return phase;
    }

    /**
     * Returns when the order is to be carried out. That is never before its true deadline, since
     * each process that counts its time has seen it after it was written.
     *
     * @return a time, in milliseconds; far off while it is not known
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Tells whether it is known by when the order is to be carried out.
     *
     * @return false if no process that is heard saw the order written
     */
    public boolean isDeadlineKnown() {
        return deadlineMillis < UNKNOWN_DEADLINE_MILLIS / 2;
    }

    /**
     * Returns since when this process knows of the order.
     *
     * @return a time, in milliseconds
     */
    public long knownSinceMillis() {
        return knownSinceMillis;
    }

    /**
     * Returns what this process has spent.
     *
     * @return the ledger
     */
    public ExposureLedger ledger() {
        return ledger;
    }

    /**
     * Tells whether an upstream runs the version that the order names.
     *
     * @param upstream the upstream
     * @return true for the new version
     */
    public boolean isTarget(Upstream upstream) {
        return upstream.version().equals(order.version());
    }

    /**
     * Returns the upstreams that a request may go to now. A request that an upstream has failed
     * before is no sample: it goes to the old version while there is one.
     *
     * @param serving upstreams of the service that take new work
     * @param first false for a request that an upstream has failed before
     * @param nowMillis the time
     * @return some of them, perhaps none
     */
    public List<Upstream> admitted(List<Upstream> serving, boolean first, long nowMillis) {
        recordOldVersions(serving);
        return switch (phase) {
            case SAMPLING ->
                    first && maySample(nowMillis)
                            ? sampleOrOld(serving)
                            : oldOrRemaining(serving, nowMillis);
            case SWITCHING ->
                    maySwitch(nowMillis) ? targetOrOld(serving) : oldOrRemaining(serving, nowMillis);
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
     * After the deadline only a record brings the new version more: there may be one unheard of.
     */
    private boolean mayExpose(long nowMillis) {
        return isLeaderReachable(nowMillis) && nowMillis < deadlineMillis;
    }

    /** The old version has stopped; what the rest of the part does not pay for has to wait. */
    private List<Upstream> completed(List<Upstream> serving, long nowMillis) {
        boolean paid = waitMillis(nowMillis) == 0 || ledger.mayExpose();
        return paid ? afterCompletion(serving, nowMillis) : List.of();
    }

    /**
     * Tells how long requests have to wait that are not paid for, because the old version has
     * stopped and the order's time is not over.
     *
     * @param nowMillis the time
     * @return a time, in milliseconds; 0 if none has to wait
     */
    public long waitMillis(long nowMillis) {
        if (phase != RolloutPhase.COMPLETED) {
            return 0;
        }
        long until = Math.min(deadlineMillis, resultMillis + RolloutController.COMPLETION_LEAD_MILLIS);
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

    /** Later versions replace the new one in their turn; those that it replaced are gone. */
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
     * The old version. A process that was cut off and hears of no result serves with what is left
     * once the deadline has passed and the old version is gone.
     */
    private List<Upstream> oldOrRemaining(List<Upstream> serving, long nowMillis) {
        List<Upstream> old = old(serving);
        return old.isEmpty() && nowMillis > deadlineMillis ? serving : old;
    }

    /** All but the new version, unless no other ever served beside it. */
    private List<Upstream> old(List<Upstream> serving) {
        if (oldVersions.isEmpty() && phase != RolloutPhase.ROLLED_BACK) {
            return serving;
        }
        return serving.stream().filter(upstream -> !isTarget(upstream)).toList();
    }

    /**
     * The few requests of the sample go to few upstreams, so that these bear the load of each that
     * is to come and a fault that shows only under load shows in the sample.
     */
    private List<Upstream> sampleUpstreams(List<Upstream> target) {
        int few = (int) Math.floor(target.size() * ledger.sampledShare());
        return target.stream()
                .sorted(Comparator.comparing(Upstream::id))
                .limit(Math.max(1, few))
                .toList();
    }

    private boolean isLeaderReachable(long nowMillis) {
        return nowMillis - lastRoundMillis <= LEADER_TIMEOUT_MILLIS;
    }

    /**
     * Records that an upstream was chosen for a request, first or repeated. The new version is
     * charged for it at once, so that requests on their way cannot spend the same twice.
     *
     * @param upstream the upstream
     */
    public void chosen(Upstream upstream) {
        if (isTarget(upstream)) {
            ledger.chosen();
        }
    }

    /** Records that a request leaves for an upstream that it could connect to. */
    public void sent() {
        ledger.sent();
    }

    /**
     * Records how a request ended. A cold upstream of the new version may be late, and an answer
     * that was broken off counts only if it was late.
     *
     * @param upstream the upstream
     * @param answer how it ended
     * @return what it says of the version
     */
    public AnswerRating answered(Upstream upstream, AnswerObservation answer) {
        boolean isTarget = isTarget(upstream);
        boolean warm = upstream.coldRemainingMillis() <= 0;
        boolean late = warm && LatencyBaseline.isLate(slowdown(answer));
        if (!answer.complete() && !late && !answer.failed()) {
            return AnswerRating.NOT_COUNTED;
        }
        if (!isTarget && !answer.failed()) {
            recordBaseline(answer);
        }
        RouteEvidence none = new RouteEvidence(answer.route(), AnswerCount.NONE, AnswerCount.NONE);
        RouteEvidence before = evidenceByRoute.getOrDefault(answer.route(), none);
        boolean bad = late || answer.failed();
        boolean slow = warm && LatencyBaseline.isSlow(slowdown(answer));
        evidenceByRoute.put(answer.route(), before.with(isTarget, bad, slow));
        if (isTarget && (bad || slow) && !phase.isFinal() && VersionEvaluator.isBad(evidence())) {
            phase = phase.merge(RolloutPhase.HALTED);
        }
        return AnswerRating.of(bad, slow);
    }

    /** How many times the usual it took to the first event, or between two, whichever is more. */
    private double slowdown(AnswerObservation answer) {
        double first =
                baseline.slowdown(answer.route(), FIRST_EVENT, answer.firstEventMillis(), answer.predictedMillis());
        return answer.eventIntervalMillis() > 0
                ? Math.max(first, baseline.slowdown(answer.route(), EVENT_INTERVAL, answer.eventIntervalMillis(), 0))
                : first;
    }

    private void recordBaseline(AnswerObservation answer) {
        baseline.observe(answer.route(), FIRST_EVENT, answer.firstEventMillis(), answer.predictedMillis());
        if (answer.eventIntervalMillis() > 0) {
            baseline.observe(answer.route(), EVENT_INTERVAL, answer.eventIntervalMillis(), 0);
        }
    }

    /**
     * Returns what this process has seen.
     *
     * @return its evidence, by route
     */
    public List<RouteEvidence> evidence() {
        return List.copyOf(evidenceByRoute.values());
    }

    /**
     * Writes what another process is told.
     *
     * @param evidence what this one and those it speaks for have seen; empty to tell none
     * @param nowMillis the time
     * @return the news
     */
    public RolloutUpdate update(List<RouteEvidence> evidence, long nowMillis) {
        return new RolloutUpdate(order, phase, deadlineMillis - nowMillis, round, evidence);
    }

    /**
     * Takes over what another process tells of the same order.
     *
     * @param news the news
     * @param nowMillis the time
     */
    public void received(RolloutUpdate news, long nowMillis) {
        moveTo(phase.merge(news.phase()), nowMillis);
        deadlineMillis = Math.min(deadlineMillis, nowMillis + news.remainingMillis());
        if (news.round() > round) {
            round = news.round();
            lastRoundMillis = nowMillis;
        }
    }

    /**
     * Takes over what the store records, which decides.
     *
     * @param status the record
     * @param nowMillis the time
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
     * Sends the new version nothing more, because the order was taken back.
     *
     * @param nowMillis the time
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
     * Goes on as the leader decides. To be called on the leader only, a few times a second.
     *
     * @param decided the phase
     * @param nowMillis the time
     */
    public void lead(RolloutPhase decided, long nowMillis) {
        moveTo(phase.merge(decided), nowMillis);
        round++;
        lastRoundMillis = nowMillis;
    }
}
