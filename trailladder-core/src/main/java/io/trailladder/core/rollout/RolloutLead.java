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

import io.trailladder.core.rollout.RolloutJudge.Judgement;
import io.trailladder.core.rollout.RolloutJudge.Verdict;
import io.trailladder.core.rollout.RolloutStatus.State;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Decides, on the leader, how a roll-out goes on. It keeps nothing but when it began to switch, so
 * that another leader goes on from the phase that the processes tell each other and from the record
 * in the store.
 *
 * <p>A bad version is left as soon as it is found bad. A good one is sampled for most of the
 * order's time, because some faults begin late, and then gets all requests; the switch is recorded
 * once the old version has nothing under way, or when time runs out.
 *
 * @since 0.4
 */
public final class RolloutLead {
    /**
     * Time before the deadline at which sampling ends, in milliseconds: full load is watched for
     * {@link #WATCHED_MILLIS}, streams at the old version end within some 2 s, and the record has
     * to be written and seen.
     */
    private static final long FINISH_MILLIS = 5_000;

    /** Most of a short order's time that the finish may take. */
    private static final double FINISH_PART = 0.5;

    /** How long the new version bears all requests before that is recorded, in milliseconds. */
    private static final long WATCHED_MILLIS = 1_500;

    /** Time before the deadline at which the result is recorded whatever is under way. */
    private static final long LAST_MILLIS = 1_000;

    /** New upstreams that must serve before all requests move, as a part of the old ones. */
    private static final double ENOUGH = 0.7;

    private final Rollout rollout;
    private long switchedMillis = -1;

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
    public RolloutLead(Rollout rollout) {
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
        Judgement judgement = RolloutJudge.judge(evidence);
        boolean bad = judgement.verdict() == Verdict.BAD;
        if (bad || rollout.phase() == RolloutPhase.HALTED) {
            return halt(bad ? judgement.reason() : "found bad by a process");
        }
        if (rollout.phase() == RolloutPhase.SWITCHING) {
            return finish(fleet, left, nowMillis);
        }
        if (left > finishMillis()) {
            return keep(RolloutPhase.SAMPLING, judgement.reason());
        }
        String missing = missing(judgement, fleet);
        if (missing.isEmpty()) {
            switchedMillis = nowMillis;
            return keep(RolloutPhase.SWITCHING, judgement.reason());
        }
        return left > LAST_MILLIS
                ? keep(RolloutPhase.SAMPLING, missing)
                : halt("time is up: " + missing);
    }

    /** A result that is recorded too early cuts streams; one too late misses the deadline. */
    private Step finish(Fleet fleet, long left, long nowMillis) {
        if (switchedMillis < 0) {
            switchedMillis = nowMillis;
        }
        boolean idle = fleet.oldRequests() == 0 && nowMillis - switchedMillis >= WATCHED_MILLIS;
        if (idle || left <= LAST_MILLIS) {
            String cut = fleet.oldRequests() + " requests under way at the old version";
            return new Step(RolloutPhase.SWITCHING, Optional.of(State.COMPLETED), cut);
        }
        return keep(RolloutPhase.SWITCHING, "waiting for the old version's requests to end");
    }

    private static String missing(Judgement judgement, Fleet fleet) {
        if (judgement.verdict() != Verdict.GOOD) {
            return judgement.reason();
        }
        if (fleet.target() < ENOUGH * fleet.old()) {
            return String.format(
                    Locale.ROOT,
                    "%d upstreams of the new version serve, expected %d",
                    fleet.target(),
                    (int) Math.ceil(ENOUGH * fleet.old()));
        }
        return "";
    }

    private long finishMillis() {
        return Math.min(FINISH_MILLIS, (long) (FINISH_PART * rollout.order().durationMillis()));
    }

    private static Step keep(RolloutPhase phase, String reason) {
        return new Step(phase, Optional.empty(), reason);
    }

    private static Step halt(String reason) {
        return new Step(RolloutPhase.HALTED, Optional.of(State.ROLLED_BACK), reason);
    }

    private static boolean isFinal(State state) {
        return state == State.COMPLETED || state == State.ROLLED_BACK;
    }
}
