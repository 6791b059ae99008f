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

import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.rollout.VersionEvaluator.Evaluation;
import io.trailladder.core.rollout.VersionEvaluator.Verdict;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Decides on the next steps of a roll-out. Used on the leader only. It has no state of its own, so
 * that another leader continues from the phase that the processes report to each other and from the
 * record in the store.
 *
 * <p>A bad version is left as soon as it is found bad. A good one is sampled until the part of the
 * bound that samples have left is enough for the rest of the order's time; then all requests move
 * to it for as long as the bound allows, and the result is recorded just before the deadline. So a
 * version that was wrongly found good gets no more than the bound either.
 *
 * <p>A good version whose result could not be recorded in time is completed late: after the
 * deadline it gets no requests until the result is recorded, unless no other version serves, and
 * the order is carried out.
 *
 * @since 0.4
 */
public final class RolloutController {
    /**
     * Time before the deadline at which the completion is recorded, in milliseconds. It covers two
     * steps of the leader, reading back a write whose answer was lost, and an order that was read
     * 100 ms after it was written.
     */
    public static final long COMPLETION_LEAD_MILLIS = 400;

    /**
     * Time before the deadline at which a version not shown to be good is rolled back, in
     * milliseconds.
     */
    private static final long GIVE_UP_MILLIS = 1_000;

    /**
     * Time that a leader that has just started waits for the deadline, in milliseconds. Links to
     * peers are made within a second, and each digest contains the deadline.
     */
    private static final long DEADLINE_WAIT_MILLIS = 2_000;

    /** Longest time for which all requests move before the result is recorded, in milliseconds. */
    private static final long MAX_SWITCH_MILLIS = 3_000;

    /**
     * Share of the number of old upstreams that must serve the new version before all requests
     * move.
     */
    private static final double MIN_TARGET_SHARE = 0.7;

    private final Rollout rollout;

    /**
     * The upstreams of both versions.
     *
     * @param old upstreams of the old version that accept new requests
     * @param target upstreams of the new version that accept new requests
     * @param oldRequests requests in progress at the old version, over all processes
     */
    public record Fleet(int old, int target, int oldRequests) {}

    /**
     * The next step.
     *
     * @param phase the phase to go on with
     * @param record the state to be recorded in the store; empty if nothing is to be written
     * @param reason the reason, with figures
     */
    public record Step(RolloutPhase phase, Optional<State> record, String reason) {}

    /**
     * Creates the controller of one roll-out.
     *
     * @param rollout the roll-out
     */
    public RolloutController(Rollout rollout) {
        this.rollout = rollout;
    }

    /**
     * Returns the next step.
     *
     * @param evidence what all processes have observed
     * @param status the record in the store
     * @param fleet the upstreams of both versions
     * @param nowMillis the current time, in milliseconds
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
        long remaining = rollout.deadlineMillis() - nowMillis;
        Evaluation evaluation = VersionEvaluator.evaluate(evidence);
        boolean bad = evaluation.verdict() == Verdict.BAD;
        if (bad || rollout.phase() == RolloutPhase.HALTED) {
            return halt(bad ? evaluation.reason() : "found bad by a process");
        }
        if (!rollout.isDeadlineKnown() && fleet.old() == 0 && fleet.target() > 0) {
            return continueIn(
                    RolloutPhase.SAMPLING,
                    "only the new version serves, and the deadline is not known");
        }
        if (!rollout.isDeadlineKnown()) {
            return nowMillis - rollout.knownSinceMillis() < DEADLINE_WAIT_MILLIS
                    ? continueIn(
                            RolloutPhase.SAMPLING, "waiting for a process that knows the deadline")
                    : halt("no process knows when the order was written");
        }
        if (remaining > Math.max(GIVE_UP_MILLIS, switchMillis())) {
            return continueIn(RolloutPhase.SAMPLING, evaluation.reason());
        }
        String missing = missing(evaluation, fleet);
        if (!missing.isEmpty()) {
            return remaining > GIVE_UP_MILLIS
                    ? continueIn(RolloutPhase.SAMPLING, missing)
                    : halt("time is up: " + missing);
        }
        return switchOrComplete(evaluation, fleet, remaining);
    }

    /**
     * Moves all requests for as long as the bound allows and then records the completion. The old
     * version stops once the completion is recorded, so new requests must leave it before.
     */
    private Step switchOrComplete(Evaluation evaluation, Fleet fleet, long remaining) {
        if (remaining <= COMPLETION_LEAD_MILLIS) {
            String interrupted = fleet.oldRequests() + " requests under way at the old version, ";
            return new Step(
                    RolloutPhase.SWITCHING,
                    Optional.of(State.COMPLETED),
                    interrupted + evaluation.reason());
        }
        RolloutPhase phase =
                remaining <= switchMillis() ? RolloutPhase.SWITCHING : RolloutPhase.SAMPLING;
        return continueIn(phase, evaluation.reason());
    }

    private static String missing(Evaluation evaluation, Fleet fleet) {
        if (evaluation.verdict() != Verdict.GOOD) {
            return evaluation.reason();
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

    /** Returns the time before the deadline for which all requests may go to the new version. */
    private long switchMillis() {
        long affordable = rollout.ledger().affordableMillis(rollout.order().durationMillis());
        return Math.min(MAX_SWITCH_MILLIS, affordable);
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
