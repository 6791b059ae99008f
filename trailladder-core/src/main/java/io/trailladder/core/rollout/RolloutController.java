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

import io.trailladder.core.rollout.VersionEvaluator.Evaluation;
import io.trailladder.core.rollout.VersionEvaluator.Verdict;
import io.trailladder.core.rollout.RolloutStatus.State;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Decides, on the leader, how a roll-out goes on. It keeps nothing but when it began to switch, so
 * that another leader goes on from the phase that the processes tell each other and from the record
 * in the store.
 *
 * <p>A bad version is left as soon as it is found bad. A good one is sampled until what samples
 * have left of the bound pays for the rest of the order's time; then all requests move as far as
 * that pays, and the result is recorded just before the deadline. So a version that was taken for
 * good wrongly gets no more than the bound either.
 *
 * <p>A good version whose record could not be written in time is completed late: after the deadline
 * nothing is spent, and the order is carried out.
 *
 * @since 0.4
 */
public final class RolloutController {
    /**
     * Time before the deadline at which the completion is recorded, in milliseconds: two of the
     * leader's steps, a lost answer read back, and an order seen 100 ms after it was written.
     */
    public static final long COMPLETION_LEAD_MILLIS = 400;

    /** Time before the deadline at which a version that was not shown to be good is left. */
    private static final long GIVE_UP_MILLIS = 1_000;

    /**
     * How long a leader that has just started waits to be told the deadline, in milliseconds: links
     * to peers are made within a second, and each digest tells it.
     */
    private static final long DEADLINE_WAIT_MILLIS = 2_000;

    /** Longest time for which all requests move before the record, in milliseconds. */
    private static final long MAX_SWITCH_MILLIS = 3_000;

    /** New upstreams that must serve before all requests move, as a part of the old ones. */
    private static final double MIN_TARGET_SHARE = 0.7;

    private final Rollout rollout;

    /**
     * The upstreams of both versions.
     *
     * @param old how many of the old version take new work
     * @param target how many of the new version do
     * @param oldRequests requests under way at the old version, over all processes
     */
    public record Fleet(int old, int target, int oldRequests) {}

    /**
     * What is to be done.
     *
     * @param phase the phase to go on with
     * @param record the state to be recorded in the store; empty if nothing is to be written
     * @param reason what led to it, with figures
     */
    public record Step(RolloutPhase phase, Optional<State> record, String reason) {}

    /**
     * Creates the decider of one roll-out.
     *
     * @param rollout the roll-out
     */
    public RolloutController(Rollout rollout) {
        this.rollout = rollout;
    }

    /**
     * Decides.
     *
     * @param evidence what all processes have seen
     * @param status the record in the store
     * @param fleet the upstreams of both versions
     * @param nowMillis the time
     * @return the next step
     */
    public Step next(
            List<RouteEvidence> evidence, RolloutStatus status, Fleet fleet, long nowMillis) {
        boolean recorded = status.isAbout(rollout.order());
        if (recorded && isFinal(status.state())) {
            return new Step(rollout.phase(), Optional.empty(), "recorded");
        }
        Step step = decide(evidence, fleet, nowMillis);
        if (step.record().isEmpty() && !recorded) {
            return new Step(step.phase(), Optional.of(State.IN_PROGRESS), step.reason());
        }
        return step;
    }

    private Step decide(List<RouteEvidence> evidence, Fleet fleet, long nowMillis) {
        long left = rollout.deadlineMillis() - nowMillis;
        Evaluation judgement = VersionEvaluator.evaluate(evidence);
        boolean bad = judgement.verdict() == Verdict.BAD;
        if (bad || rollout.phase() == RolloutPhase.HALTED) {
            return halt(bad ? judgement.reason() : "found bad by a process");
        }
        if (!rollout.isDeadlineKnown() && fleet.old() == 0 && fleet.target() > 0) {
            return continueIn(
                    RolloutPhase.SAMPLING, "only the new version serves, since a time not known");
        }
        if (!rollout.isDeadlineKnown()) {
            return nowMillis - rollout.knownSinceMillis() < DEADLINE_WAIT_MILLIS
                    ? continueIn(RolloutPhase.SAMPLING, "waiting for a process that knows the deadline")
                    : halt("no process knows when the order was written");
        }
        if (left > Math.max(GIVE_UP_MILLIS, switchMillis())) {
            return continueIn(RolloutPhase.SAMPLING, judgement.reason());
        }
        String missing = missing(judgement, fleet);
        if (!missing.isEmpty()) {
            return left > GIVE_UP_MILLIS
                    ? continueIn(RolloutPhase.SAMPLING, missing)
                    : halt("time is up: " + missing);
        }
        return switchOrComplete(judgement, fleet, left);
    }

    /** The old version stops with the record, so new work leaves it as long before as is paid. */
    private Step switchOrComplete(Evaluation judgement, Fleet fleet, long left) {
        if (left <= COMPLETION_LEAD_MILLIS) {
            String cut = fleet.oldRequests() + " requests under way at the old version, ";
            return new Step(
                    RolloutPhase.SWITCHING, Optional.of(State.COMPLETED), cut + judgement.reason());
        }
        RolloutPhase phase =
                left <= switchMillis() ? RolloutPhase.SWITCHING : RolloutPhase.SAMPLING;
        return continueIn(phase, judgement.reason());
    }

    private static String missing(Evaluation judgement, Fleet fleet) {
        if (judgement.verdict() != Verdict.GOOD) {
            return judgement.reason();
        }
        if (fleet.target() < MIN_TARGET_SHARE * fleet.old()) {
            return String.format(
                    Locale.ROOT,
                    "%d upstreams of the new version serve, expected %d",
                    fleet.target(),
                    (int) Math.ceil(MIN_TARGET_SHARE * fleet.old()));
        }
        return "";
    }

    /** Time before the deadline for which all requests are paid for. */
    private long switchMillis() {
        long paid = rollout.ledger().affordableMillis(rollout.order().durationMillis());
        return Math.min(MAX_SWITCH_MILLIS, paid);
    }

    private static Step continueIn(RolloutPhase phase, String reason) {
        return new Step(phase, Optional.empty(), reason);
    }

    private static Step halt(String reason) {
        return new Step(RolloutPhase.HALTED, Optional.of(State.ROLLED_BACK), reason);
    }

    private static boolean isFinal(State state) {
        return state == State.COMPLETED || state == State.ROLLED_BACK;
    }
}
