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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The slots of each version of a service now and of late, with the times at which they changed.
 *
 * <p>A change takes effect on the version that ids are assigned {@value #EFFECT_DELAY_MILLIS}
 * milliseconds after it was noticed. By then all processes know of it, and it is recorded for
 * processes that start later. A version of which no upstream is left is not assigned any more at
 * once.
 */
final class VersionHistory {
    /** How long after it was noticed a change takes effect, in milliseconds. */
    static final long EFFECT_DELAY_MILLIS = 1_500;

    /** Maximum number of steps that are recorded for processes that start later. */
    static final int MAX_RECORDED_STEPS = 60;

    private final Deque<VersionStep> steps = new ArrayDeque<>();

    /** What was recorded before the first step, oldest first. */
    private List<VersionStep> recorded = List.of();

    private boolean recordedTimesKnown;
    private long recordedValidMillis;

    /** Slots by version of upstreams that were leaving when they were first listed. */
    private final Map<String, Integer> leaving = new HashMap<>();

    /**
     * Records the current upstreams.
     *
     * @param currentUntilMillis until when the list before was known to be current
     * @param certain false if other processes may already give requests to all that are listed
     */
    void record(
            List<Upstream> listed,
            List<Upstream> admitted,
            long nowMillis,
            long currentUntilMillis,
            boolean certain) {
        VersionStep step =
                new VersionStep(
                        currentUntilMillis, nowMillis, certain, slots(listed), slots(admitted));
        VersionStep last = steps.peekLast();
        if (last == null || !last.hasSameUpstreams(step)) {
            steps.addLast(step);
        }
    }

    /**
     * Forgets what is not needed any more.
     *
     * @param oldestMillis the time since which the history is needed
     */
    void prune(long oldestMillis) {
        // keeps the step that was in force when the needed history begins
        while (steps.size() > 1 && second().fromMillis() + EFFECT_DELAY_MILLIS < oldestMillis) {
            steps.removeFirst();
            recorded = List.of();
        }
    }

    /**
     * Records what an earlier process noticed before the first step of this one.
     *
     * @param validMillis until when all changes are among the steps
     * @param timesKnown false if the times cannot be told yet
     */
    void recordedBefore(List<VersionStep> earlier, long validMillis, boolean timesKnown) {
        recorded = List.copyOf(earlier);
        recordedValidMillis = validMillis;
        recordedTimesKnown = timesKnown;
    }

    /** Records upstreams that leave, at which streams may have begun before the first step. */
    void leavingBefore(List<Upstream> upstreams) {
        slots(upstreams).forEach((version, slots) -> leaving.merge(version, slots, Math::max));
    }

    /** Returns whether all upstreams are of the only version that the last step has. */
    boolean hasOnlyVersionOf(List<Upstream> listed) {
        VersionStep last = steps.peekLast();
        if (last == null || last.listed().size() != 1 || steps.size() > 1) {
            return false;
        }
        return listed.stream().allMatch(upstream -> last.listed().containsKey(upstream.version()));
    }

    private VersionStep second() {
        var oldestFirst = steps.iterator();
        oldestFirst.next();
        return oldestFirst.next();
    }

    private static Map<String, Integer> slots(List<Upstream> upstreams) {
        Map<String, Integer> slots = new HashMap<>();
        for (Upstream upstream : upstreams) {
            slots.merge(upstream.version(), Math.max(1, upstream.slots()), Integer::sum);
        }
        return slots;
    }

    /** Returns the steps that count for some time with their ages and the admitted slots. */
    String describe(long earliestMillis, long latestMillis, long nowMillis) {
        StringBuilder text = new StringBuilder(recordedTimesKnown ? "" : "times not known; ");
        List<VersionStep> noticed = noticedSince(earliestMillis - EFFECT_DELAY_MILLIS);
        text.append(noticed.size()).append(" steps");
        for (VersionStep step : inForce(noticed, latestMillis)) {
            text.append("; ")
                    .append(nowMillis - step.sinceMillis())
                    .append(" ms ago ")
                    .append(step.admitted())
                    .append(step.certain() ? "" : " of " + step.listed());
        }
        return text.toString();
    }

    /** Returns the steps of this process and those recorded before that may still matter. */
    List<VersionStep> recent(long sinceMillis) {
        List<VersionStep> recent = new ArrayList<>();
        for (VersionStep step : all()) {
            // the last step in force at that time stays, as do all later ones
            if (step.fromMillis() + EFFECT_DELAY_MILLIS <= sinceMillis) {
                recent.clear();
            }
            recent.add(step);
        }
        return recent.subList(Math.max(0, recent.size() - MAX_RECORDED_STEPS), recent.size());
    }

    private List<VersionStep> all() {
        List<VersionStep> all = new ArrayList<>(recorded.size() + steps.size());
        for (VersionStep step : recorded) {
            if (steps.isEmpty() || step.sinceMillis() < steps.getFirst().fromMillis()) {
                all.add(step);
            }
        }
        for (VersionStep step : steps) {
            boolean first = !recorded.isEmpty() && step.equals(steps.getFirst());
            // what is listed at the start may have been noticed since the record was written
            all.add(first ? step.noticedSince(recordedValidMillis) : step);
        }
        all.sort(Comparator.comparingLong(VersionStep::fromMillis));
        return all;
    }

    /**
     * Returns the version that an id is assigned to which a caller first called at a time; empty if
     * only one is listed.
     */
    Optional<String> assigned(String id, long firstCallMillis) {
        VersionStep last = steps.getLast();
        if (last.listed().size() <= 1) {
            return Optional.empty();
        }
        return VersionWeights.assigned(id, inForce(firstCallMillis).admitted())
                .filter(last.admitted()::containsKey)
                .or(() -> VersionWeights.assigned(id, last.admitted()));
    }

    private VersionStep inForce(long atMillis) {
        VersionStep inForce = null;
        for (VersionStep step : all()) {
            if (inForce == null || step.fromMillis() + EFFECT_DELAY_MILLIS <= atMillis) {
                inForce = step;
            }
        }
        return inForce;
    }

    /**
     * Returns the version that was assigned to an id, whichever process assigned it and whenever
     * its caller first called within some time.
     *
     * @param id the id
     * @param earliestMillis the earliest time of the first call
     * @param latestMillis the latest time of the first call
     * @return how the version is known; {@link StreamOrigin#ANY} if there was no other one
     */
    StreamOrigin origin(String id, long earliestMillis, long latestMillis) {
        List<VersionStep> noticed = noticedSince(earliestMillis - EFFECT_DELAY_MILLIS);
        if (versions(noticed, earliestMillis).size() <= 1) {
            return StreamOrigin.ANY;
        }
        if (isBeforeHistory(earliestMillis)) {
            return StreamOrigin.UNKNOWN;
        }
        List<VersionRange> ranges = ranges(noticed, earliestMillis, latestMillis);
        return VersionWeights.assigned(id, ranges)
                .filter(version -> wasAlwaysAdmitted(version, earliestMillis))
                .map(StreamOrigin::computed)
                .orElse(StreamOrigin.UNKNOWN);
    }

    /** Returns whether a version took requests since a time, so that no id was moved from it. */
    private boolean wasAlwaysAdmitted(String version, long sinceMillis) {
        return noticedSince(sinceMillis).stream()
                .allMatch(step -> step.admitted().containsKey(version));
    }

    /** Returns whether a stream may be older than all that is known. */
    private boolean isBeforeHistory(long sinceMillis) {
        return !recorded.isEmpty()
                && recordedTimesKnown
                && sinceMillis < recorded.get(0).fromMillis() + EFFECT_DELAY_MILLIS;
    }

    private Set<String> versions(List<VersionStep> noticed, long sinceMillis) {
        Set<String> versions = new HashSet<>();
        noticed.forEach(step -> versions.addAll(step.listed().keySet()));
        if (isBeforeFirst(sinceMillis)) {
            versions.addAll(leaving.keySet());
        }
        return versions;
    }

    private boolean isBeforeFirst(long sinceMillis) {
        return steps.isEmpty() || sinceMillis < steps.getFirst().fromMillis();
    }

    /** Returns the steps that were noticed at a time or later, and the last one before. */
    private List<VersionStep> noticedSince(long sinceMillis) {
        if (!recordedTimesKnown && isBeforeFirst(sinceMillis)) {
            return all();
        }
        List<VersionStep> noticed = new ArrayList<>();
        for (VersionStep step : all()) {
            if (step.fromMillis() <= sinceMillis) {
                noticed.clear();
            }
            noticed.add(step);
        }
        return noticed;
    }

    /** Returns the slots that each version had while ids were assigned within some time. */
    private List<VersionRange> ranges(
            List<VersionStep> noticed, long earliestMillis, long latestMillis) {
        List<VersionStep> inForce = inForce(noticed, latestMillis);
        Map<String, Integer> most = new TreeMap<>();
        for (VersionStep step : inForce) {
            step.mostAdmitted().forEach((version, slots) -> most.merge(version, slots, Math::max));
        }
        boolean followsRecord = mayFollowRecord(earliestMillis, latestMillis);
        if (followsRecord || (recorded.isEmpty() && isBeforeFirst(earliestMillis))) {
            leaving.forEach((version, slots) -> most.merge(version, slots, Math::max));
        }

        List<VersionRange> ranges = new ArrayList<>(most.size());
        most.forEach(
                (version, slots) ->
                        ranges.add(new VersionRange(version, leastSlots(version, inForce), slots)));
        return ranges;
    }

    /** Returns the first step, and those that took effect by a time at some process. */
    private List<VersionStep> inForce(List<VersionStep> noticed, long latestMillis) {
        List<VersionStep> inForce = new ArrayList<>();
        for (VersionStep step : noticed) {
            if (inForce.isEmpty() || tookEffectBy(step, latestMillis)) {
                inForce.add(step);
            }
        }
        return inForce;
    }

    /** Returns whether a step was in force at a time at some process. */
    private boolean tookEffectBy(VersionStep step, long millis) {
        boolean timed = recordedTimesKnown || !recorded.contains(step);
        return !timed || step.sinceMillis() + EFFECT_DELAY_MILLIS <= millis;
    }

    /** Returns whether ids may have been assigned by processes that recorded nothing. */
    private boolean mayFollowRecord(long earliestMillis, long latestMillis) {
        return !recorded.isEmpty()
                && !steps.isEmpty()
                && earliestMillis < steps.getFirst().fromMillis() + EFFECT_DELAY_MILLIS
                && latestMillis >= recordedValidMillis + EFFECT_DELAY_MILLIS;
    }

    private static int leastSlots(String version, List<VersionStep> inForce) {
        int least = Integer.MAX_VALUE;
        for (VersionStep step : inForce) {
            least = Math.min(least, step.admitted().getOrDefault(version, 0));
        }
        return inForce.isEmpty() ? 0 : least;
    }
}
