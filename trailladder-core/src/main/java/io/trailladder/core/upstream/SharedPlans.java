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
package io.trailladder.core.upstream;

import io.trailladder.core.rollout.VersionGate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The {@linkplain VersionPlan plans} by which processes assign streams to versions, as far as this
 * process knows them.
 *
 * <pre>{@code
 * streams.plans().told(number, news, nowMillis);
 * if (streams.plans().isOutdated()) {
 *     readRecord();
 * }
 * }</pre>
 *
 * @since 0.7
 */
public final class SharedPlans {
    private static final int MAX_RECORDED = 60;

    /** Gap in the numbers of plans after one was lost, so that others do not take it for known. */
    private static final long SERIES_GAP = 1_000;

    /** Largest plausible difference between the numbers of two plans in use. */
    private static final long MAX_NUMBER_GAP = 1_000_000;

    /** How long the changes of a new plan are told, in milliseconds: several digests. */
    private static final long TOLD_MILLIS = 1_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final VersionGate versions;
    private final VersionPlanner planner;
    private final BegunStreams begun;
    private final PlanUse use;
    private final KnownPlans known = new KnownPlans();

    /** Whether the next plan must not continue the ones before. */
    private boolean newSeries;

    /** The newest plan of which another process told. */
    private long newestNumber;

    /** Since when this process does not know it, in milliseconds. */
    private long outdatedMillis = NEVER_MILLIS;

    /** When the current plan became known, in milliseconds. */
    private long adoptedMillis = NEVER_MILLIS;

    /** When a peer was linked last, in milliseconds. */
    private long linkedMillis = NEVER_MILLIS;

    /**
     * Creates an instance that knows no plan.
     *
     * @param versions is told which versions are planned
     * @param planner makes the next plan
     * @param begun the streams of this process
     * @param use which plans other processes use
     */
    SharedPlans(VersionGate versions, VersionPlanner planner, BegunStreams begun, PlanUse use) {
        this.versions = versions;
        this.planner = planner;
        this.begun = begun;
        this.use = use;
    }

    /**
     * Returns the plan by which this process assigns streams.
     *
     * @return the plan; {@link VersionPlan#NONE} if it has none
     */
    public VersionPlan current() {
        return known.current();
    }

    /**
     * Returns whether other processes use a plan that this one does not know, so that it must read
     * the record.
     *
     * @return true until the record was read
     */
    public boolean isOutdated() {
        return newestNumber > current().number();
    }

    /**
     * Returns what others may lack of the current plan.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the whole plan after a peer has been linked, its changes while it is new; empty if
     *     there is nothing to tell
     */
    public Optional<PlanNews> news(long nowMillis) {
        List<VersionPlan> latest = known.latest(1, 2);
        if (latest.isEmpty() || isOutdated()) {
            return Optional.empty();
        }
        VersionPlan current = current();
        if (nowMillis - linkedMillis <= TOLD_MILLIS) {
            return Optional.of(new PlanNews(0, current.slots()));
        }
        boolean isNew = nowMillis - adoptedMillis <= TOLD_MILLIS;
        VersionPlan base = latest.get(0);
        return isNew && latest.size() > 1
                ? Optional.of(new PlanNews(base.number(), current.changesSince(base)))
                : Optional.empty();
    }

    /**
     * Records that a process tells of a plan.
     *
     * @param number its number
     * @param news what the process tells of it
     * @param nowMillis the current time, in milliseconds
     */
    public void told(long number, Optional<PlanNews> news, long nowMillis) {
        VersionPlan current = current();
        if (number - current.number() > MAX_NUMBER_GAP) {
            return;
        }
        if (number > newestNumber) {
            newestNumber = number;
            outdatedMillis = nowMillis;
        }
        if (news.isEmpty() || number <= current.number()) {
            return;
        }
        if (news.get().baseNumber() == 0) {
            known.add(new VersionPlan(number, news.get().changes()));
            adopted(nowMillis);
        } else if (news.get().baseNumber() == current.number()) {
            known.add(current.next(news.get().changes()));
            adopted(nowMillis);
        }
    }

    /** Adds plans that the record has, so that the latest may be used. */
    void recorded(List<VersionPlan> plans, long nowMillis) {
        long before = current().number();
        known.addAll(plans);
        if (current().number() > before) {
            adopted(nowMillis);
        }
    }

    /** Tells others of the streams that the new plan assigns to another version. */
    private void adopted(long nowMillis) {
        VersionPlan plan = current();
        adoptedMillis = nowMillis;
        newSeries = false;
        planner.planned(nowMillis);
        plan.slots()
                .forEach((service, slots) -> versions.admit(service, slots.keySet(), nowMillis));
        begun.tell(stream -> !isAssigned(plan, stream.call(), stream.version()), nowMillis);
    }

    private static boolean isAssigned(VersionPlan plan, StreamCall call, String version) {
        return plan.assigned(call.service(), call.attempt()).equals(Optional.of(version));
    }

    /** Records that plans were lost that others may know, so that the next starts a new series. */
    void beginNewSeries() {
        newSeries = true;
    }

    /** Records that a process has been linked, which may know no plan. */
    void linked(long nowMillis) {
        linkedMillis = nowMillis;
    }

    /**
     * Returns the plans to record: those in use, and a new one if it is needed.
     *
     * @return the plans; empty while this process does not know the latest one
     */
    List<VersionPlan> toRecord(long oldestNumber, long nowMillis) {
        boolean lost = isOutdated() && nowMillis - outdatedMillis > StreamVersions.MAX_AGE_MILLIS;
        if (isOutdated() && !lost) {
            return List.of();
        }
        VersionPlan base = current();
        List<VersionPlan> used = known.latest(oldestNumber, MAX_RECORDED);
        if (lost || newSeries) {
            long newest = Math.max(newestNumber, base.number());
            base = new VersionPlan(newest + SERIES_GAP, Map.of());
            used = List.of();
        }
        VersionPlan next = planner.next(base, nowMillis);
        List<VersionPlan> recorded = new ArrayList<>(used);
        if (next.number() > base.number()) {
            recorded.add(next);
        }
        return recorded;
    }

    /** Returns the oldest plan that any known process uses; 0 if one does not use plans. */
    long oldestNumber() {
        return use.oldest(current().number());
    }

    /** Returns the versions of a service in the plans that may be in use. */
    Set<String> versions(String service) {
        return known.versions(service, oldestNumber());
    }

    /** Returns the only version that all plans in use up to one assign to a stream, if any. */
    Optional<String> assigned(StreamCall call, long newestNumber) {
        long oldest = oldestNumber();
        return known.assigned(call, oldest, Math.max(oldest, newestNumber));
    }

    /** Forgets plans that are not in use any more. */
    void prune() {
        known.prune(oldestNumber());
    }

    /** Describes which plans are in use, for a log line. */
    String describe(String service) {
        long oldest = oldestNumber();
        return "plans %d to %d in use%s; versions %s"
                .formatted(
                        oldest,
                        current().number(),
                        known.isComplete(oldest) ? "" : ", some not known",
                        versions(service));
    }
}
