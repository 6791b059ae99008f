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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What is recorded in the store of the versions of streams, for processes that start after those
 * that began them have ended. The leader writes it; every process reads it.
 *
 * <pre>{@code
 * Optional<VersionRecord> next = streams.record().next(nowMillis);
 * next.ifPresent(record -> write(record, streams.record().times(nowMillis)));
 * }</pre>
 *
 * @since 0.7
 */
public final class RecordedVersions {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final VersionGate versions;
    private final SharedPlans plans;
    private final BegunStreams begun;
    private final PlanUse use;
    private final long startedMillis;
    private Earlier earlier = Earlier.UNKNOWN;

    /** The newest plan that a process may have used that has ended. */
    private long endedNumber;

    /** When the record was last read, in milliseconds. */
    private long readMillis = NEVER_MILLIS;

    /** Until when processes may have ended without being missed, in milliseconds. */
    private long lostMillis;

    /** What is known of the versions that served before this process started. */
    private enum Earlier {
        UNKNOWN,
        NOT_RECORDED,
        RECORDED
    }

    /**
     * Creates an instance for a record that has not been read.
     *
     * @param versions is told since when the recorded versions serve
     * @param plans the plans that this process knows
     * @param begun the streams that it knows
     * @param use which plans other processes use
     * @param startedMillis when this process started, in milliseconds
     */
    RecordedVersions(
            VersionGate versions,
            SharedPlans plans,
            BegunStreams begun,
            PlanUse use,
            long startedMillis) {
        this.versions = versions;
        this.plans = plans;
        this.begun = begun;
        this.use = use;
        this.startedMillis = startedMillis;
        lostMillis = startedMillis + StreamVersions.SETTLE_MILLIS;
    }

    /**
     * Records what the store tells: at the start, and whenever the record is read again.
     *
     * @param record the record
     * @param times how long it counts
     * @param beganMillis when the read began, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void read(VersionRecord record, RecordTimes times, long beganMillis, long nowMillis) {
        Map<Long, Long> silent = silentMillis(record, times);
        if (earlier == Earlier.UNKNOWN && !record.plans().isEmpty()) {
            use.usedBefore(leastNumber(record, silent), times.plans(), nowMillis);
            admitAsPlanned(record.plans());
        }
        use.silentBefore(silent, nowMillis);
        earlier = Earlier.RECORDED;
        boolean firstSinceLoss = readMillis < lostMillis;
        readMillis = beganMillis;
        begun.recordedBefore(record.streams(), times.streams(), nowMillis);
        written(record, nowMillis);
        if (firstSinceLoss) {
            endedNumber = plans.current().number();
        }
    }

    /** Returns for how long silent processes may use plans; the longest time if it is not told. */
    private static Map<Long, Long> silentMillis(VersionRecord record, RecordTimes times) {
        Map<Long, Long> silent = new HashMap<>(times.silent());
        if (record.silentNumber() != PlanUse.NONE) {
            silent.putIfAbsent(record.silentNumber(), PlanUse.MAX_SILENCE_MILLIS);
        }
        return silent;
    }

    /** Returns the oldest plan that a process may use that runs and has not been heard. */
    private static long leastNumber(VersionRecord record, Map<Long, Long> silent) {
        long least = record.plans().get(record.plans().size() - 1).number();
        for (long number : silent.keySet()) {
            least = Math.min(least, number);
        }
        return least;
    }

    /** Has versions that are not planned yet wait as long as at processes that ran before. */
    private void admitAsPlanned(List<VersionPlan> recorded) {
        VersionPlan latest = recorded.get(recorded.size() - 1);
        for (String service : latest.slots().keySet()) {
            Map<String, Long> admitted = new HashMap<>();
            long listedMillis = startedMillis - VersionGate.UNORDERED_VERSION_DELAY_MILLIS;
            latest.versions(service).forEach(version -> admitted.put(version, listedMillis));
            if (!admitted.isEmpty()) {
                versions.listedBefore(service, admitted, startedMillis);
            }
        }
    }

    /**
     * Records that the store has no record. Only the upstreams that are listed, or leave, are then
     * known.
     *
     * @param beganMillis when the read began, in milliseconds
     */
    public void nothingRead(long beganMillis) {
        if (earlier == Earlier.UNKNOWN) {
            earlier = Earlier.NOT_RECORDED;
        }
        if (readMillis < lostMillis) {
            endedNumber = plans.current().number();
        }
        readMillis = beganMillis;
    }

    /** Records that the store has lost its latest writes, plans among them. */
    public void storeReplaced() {
        plans.beginNewSeries();
    }

    /**
     * Returns how often the streams that must be recorded have changed.
     *
     * @return a count
     */
    public long changes() {
        return begun.changes();
    }

    /**
     * Returns what the leader must record.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the record, with a new plan if one is needed; empty if this process does not know the
     *     latest plan
     */
    public Optional<VersionRecord> next(long nowMillis) {
        if (!isEarlierKnown(nowMillis)) {
            return Optional.empty();
        }
        long oldest = begun.isRecordComplete(nowMillis) ? plans.oldestNumber() : 0;
        List<VersionPlan> recorded = plans.toRecord(oldest, nowMillis);
        return recorded.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new VersionRecord(oldest, recorded, use.silentNumber(), begun.toRecord()));
    }

    /**
     * Returns how long what the leader records still counts.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the times
     */
    public RecordTimes times(long nowMillis) {
        Map<Long, Long> left = use.leftMillis(plans.current().number(), nowMillis);
        if (!begun.isRecordComplete(nowMillis)) {
            left.put(0L, StreamVersions.MAX_AGE_MILLIS);
        }
        return new RecordTimes(left, use.silentMillis(nowMillis), begun.leftMillis(nowMillis));
    }

    /**
     * Records that the store has a record, so that its latest plan may be used.
     *
     * @param record the record
     * @param nowMillis the current time, in milliseconds
     */
    public void written(VersionRecord record, long nowMillis) {
        plans.recorded(record.plans(), nowMillis);
    }

    /** Records that a process may have ended that was not missed before. */
    void processLost(long nowMillis) {
        lostMillis = Math.max(lostMillis, nowMillis);
    }

    /** Records that no process can have ended unnoticed. */
    void noneLost(long nowMillis) {
        lostMillis = Math.min(lostMillis, nowMillis);
    }

    /** Returns whether this process knows which streams of earlier processes may be resumed. */
    boolean isEarlierKnown(long nowMillis) {
        return earlier != Earlier.UNKNOWN
                || nowMillis - startedMillis > StreamVersions.MAX_AGE_MILLIS;
    }

    /** Returns whether the store had no record when this process started. */
    boolean wasAbsent() {
        return earlier == Earlier.NOT_RECORDED;
    }

    /** Returns whether no process can have ended since the record was read. */
    boolean isCurrent() {
        return readMillis >= lostMillis;
    }

    /** Returns the newest plan that a process may have used that has ended. */
    long endedNumber() {
        return endedNumber;
    }

    /** Returns how long ago the record was read, in milliseconds; -1 if it never was. */
    long ageMillis(long nowMillis) {
        return readMillis == NEVER_MILLIS ? -1 : nowMillis - readMillis;
    }
}
