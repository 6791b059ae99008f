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
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Determines the version of upstreams at which a stream begins and at which it may be resumed. What
 * two versions generate must not be joined.
 *
 * <p>The version of a stream is known to the process that sent it to an upstream, and to those that
 * it told. For streams of processes that are gone it follows from the {@linkplain VersionPlan plan}
 * by which they assigned versions to the ids of attempts. The leader makes plans and records each
 * one before a process uses it. Every process tells the number of the plan that it uses and, before
 * it tells a newer number, the streams that the newer plan assigns to another version than they
 * have. So a stream that nobody was told of began at the version that all plans assign to it that
 * are still in use; if they differ, it is not resumed. No clock of a caller or another process is
 * part of this.
 *
 * <pre>{@code
 * StreamCall call = new StreamCall("chat", attemptId);
 * StreamOrigin begin = streams.assigned(call, nowMillis);
 * streams.sent(call, upstream.version(), nowMillis);
 * Optional<StreamOrigin> origin = streams.recorded(call);
 * }</pre>
 *
 * @since 0.6
 */
public final class StreamVersions {
    /** Stands for the number of a plan that a process does not state yet. */
    public static final long NO_STATEMENT = -1;

    /** Maximum age of a stream that is resumed, in milliseconds. */
    public static final long MAX_AGE_MILLIS = 20_000;

    /**
     * How long after the start of this process the version is unknown of a stream, in milliseconds,
     * if nothing was recorded before: upstreams may have left or come shortly before.
     */
    static final long SETTLE_MILLIS = 3_000;

    private static final int MAX_RECORDED_PLANS = 60;

    /** Gap in the numbers of plans after one was lost, so that others do not take it for known. */
    private static final long SERIES_GAP = 1_000;

    /** Largest plausible difference between the numbers of two plans in use. */
    private static final long MAX_NUMBER_GAP = 1_000_000;

    /** How long the changes of a new plan are told, in milliseconds: several digests. */
    private static final long PLAN_TOLD_MILLIS = 1_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** Time between two ticks from which this process was frozen, in milliseconds. */
    private static final long FROZEN_MILLIS = 1_000;

    private final UpstreamDirectory directory;
    private final VersionGate versions;
    private final VersionPlanner planner;
    private final long startedMillis;
    private final KnownPlans plans = new KnownPlans();
    private final PlanUse use = new PlanUse();
    private final Map<String, VersionGaps> gaps = new HashMap<>();
    private final BegunStreams begun = new BegunStreams();
    private final ListFreshness freshness;
    private Earlier earlier = Earlier.UNKNOWN;

    /** Whether the next plan must not continue the ones before. */
    private boolean newSeries;

    /** The newest plan that a process may have used that has ended. */
    private long endedNumber;

    /** The newest plan of which another process told. */
    private long newestNumber;

    /** Since when this process does not know it, in milliseconds. */
    private long lackingMillis = NEVER_MILLIS;

    /** When the current plan became known, in milliseconds. */
    private long adoptedMillis = NEVER_MILLIS;

    /** When a peer was linked last, in milliseconds. */
    private long linkedMillis = NEVER_MILLIS;

    /** When the record was last read, in milliseconds. */
    private long readMillis = NEVER_MILLIS;

    /** Until when processes may have ended without being missed, in milliseconds. */
    private long lostMillis;

    private long tickedMillis;

    /** What is known of the versions that served before this process started. */
    private enum Earlier {
        UNKNOWN,
        NOT_RECORDED,
        RECORDED
    }

    /**
     * Creates an instance that knows of no streams.
     *
     * @param own the name of this process
     * @param directory the known upstreams
     * @param versions decides which versions new requests may go to
     * @param startedMillis when this process started, in milliseconds
     */
    public StreamVersions(
            String own, UpstreamDirectory directory, VersionGate versions, long startedMillis) {
        this.directory = directory;
        this.versions = versions;
        this.planner = new VersionPlanner(directory, versions);
        this.startedMillis = startedMillis;
        this.tickedMillis = startedMillis;
        this.lostMillis = startedMillis + SETTLE_MILLIS;
        this.freshness = new ListFreshness(own, startedMillis);
    }

    /**
     * Records what the store tells: at the start, and whenever the record is read again.
     *
     * @param record the record
     * @param times how long it counts
     * @param beganMillis when the read began, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void recordRead(
            VersionRecord record, RecordTimes times, long beganMillis, long nowMillis) {
        if (earlier == Earlier.UNKNOWN && !record.plans().isEmpty()) {
            use.usedBefore(record.oldestNumber(), times.plans(), record.silentNumber(), nowMillis);
            admitAsPlanned(record.plans());
        }
        earlier = Earlier.RECORDED;
        boolean firstSinceLoss = readMillis < lostMillis;
        readMillis = beganMillis;
        begun.recordedBefore(record.streams(), times.streams(), nowMillis);
        recorded(record, nowMillis);
        if (firstSinceLoss) {
            endedNumber = plans.current().number();
        }
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
    public void nothingRecorded(long beganMillis) {
        if (earlier == Earlier.UNKNOWN) {
            earlier = Earlier.NOT_RECORDED;
        }
        readMillis = beganMillis;
    }

    /** Records that the store has lost its latest writes, plans among them. */
    public void historyReplaced() {
        newSeries = true;
    }

    /** Returns whether this process knows which streams of earlier processes may be resumed. */
    private boolean isEarlierKnown(long nowMillis) {
        return earlier != Earlier.UNKNOWN || nowMillis - startedMillis > MAX_AGE_MILLIS;
    }

    /**
     * Returns how long what the leader records still counts.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the times
     */
    public RecordTimes recordTimes(long nowMillis) {
        Map<Long, Long> left = use.leftMillis(plans.current().number(), nowMillis);
        if (!begun.isRecordComplete(nowMillis)) {
            left.put(0L, MAX_AGE_MILLIS);
        }
        return new RecordTimes(left, begun.leftMillis(nowMillis));
    }

    /**
     * Returns how often the streams that must be recorded have changed.
     *
     * @return a count
     */
    public long recordChanges() {
        return begun.changes();
    }

    /**
     * Returns what the leader must record.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the record, with a new plan if one is needed; empty if this process does not know the
     *     latest plan
     */
    public Optional<VersionRecord> toRecord(long nowMillis) {
        boolean lost = lacksPlan() && nowMillis - lackingMillis > MAX_AGE_MILLIS;
        if (!isEarlierKnown(nowMillis) || (lacksPlan() && !lost)) {
            return Optional.empty();
        }
        long oldest = begun.isRecordComplete(nowMillis) ? oldestNumber() : 0;
        List<VersionPlan> recorded = new ArrayList<>(plans.latest(oldest, MAX_RECORDED_PLANS));
        VersionPlan current = plans.current();
        if (lost || newSeries) {
            current = new VersionPlan(newestPlanNumber() + SERIES_GAP, Map.of());
            recorded.clear();
        }
        VersionPlan next = planner.next(current, nowMillis);
        if (next.number() > current.number()) {
            recorded.add(next);
        }
        return recorded.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new VersionRecord(oldest, recorded, use.silentNumber(), begun.toRecord()));
    }

    /**
     * Records that the store has a record, so that its latest plan may be used.
     *
     * @param record the record
     * @param nowMillis the current time, in milliseconds
     */
    public void recorded(VersionRecord record, long nowMillis) {
        long before = plans.current().number();
        plans.addAll(record.plans());
        if (plans.current().number() > before) {
            adopted(nowMillis);
        }
    }

    /** Tells others of the streams that the new plan assigns to another version. */
    private void adopted(long nowMillis) {
        VersionPlan plan = plans.current();
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

    /**
     * Returns the plan by which this process assigns streams.
     *
     * @return the plan; {@link VersionPlan#NONE} if it has none
     */
    public VersionPlan plan() {
        return plans.current();
    }

    /**
     * Returns what others may lack of the current plan.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the whole plan after a peer has been linked, its changes while it is new; empty if
     *     there is nothing to tell
     */
    public Optional<PlanNews> planNews(long nowMillis) {
        List<VersionPlan> known = plans.latest(1, 2);
        if (known.isEmpty() || lacksPlan()) {
            return Optional.empty();
        }
        VersionPlan current = plans.current();
        if (nowMillis - linkedMillis <= PLAN_TOLD_MILLIS) {
            return Optional.of(new PlanNews(0, current.slots()));
        }
        boolean isNew = nowMillis - adoptedMillis <= PLAN_TOLD_MILLIS;
        return isNew && known.size() > 1
                ? Optional.of(
                        new PlanNews(known.get(0).number(), current.changesSince(known.get(0))))
                : Optional.empty();
    }

    /**
     * Records that a peer assigns streams by plans, though it may not have stated one yet.
     *
     * @param peer the peer's name
     */
    public void peerPlans(String peer) {
        use.heard(peer, true);
    }

    /**
     * Records that a process tells of a plan.
     *
     * @param number its number
     * @param news what the process tells of it
     * @param nowMillis the current time, in milliseconds
     */
    public void planTold(long number, Optional<PlanNews> news, long nowMillis) {
        VersionPlan current = plans.current();
        if (number - current.number() > MAX_NUMBER_GAP) {
            return;
        }
        if (number > newestNumber) {
            newestNumber = number;
            lackingMillis = nowMillis;
        }
        if (news.isEmpty() || number <= current.number()) {
            return;
        }
        if (news.get().baseNumber() == 0) {
            plans.add(new VersionPlan(number, news.get().changes()));
            adopted(nowMillis);
        } else if (news.get().baseNumber() == current.number()) {
            plans.add(current.next(news.get().changes()));
            adopted(nowMillis);
        }
    }

    /**
     * Returns the number of the latest plan that is known to be in use.
     *
     * @return the number
     */
    public long newestPlanNumber() {
        return Math.max(newestNumber, plans.current().number());
    }

    /**
     * Returns whether other processes use a plan that this one does not know, so that it must read
     * the record.
     *
     * @return true until the record was read
     */
    public boolean lacksPlan() {
        return newestNumber > plans.current().number();
    }

    /**
     * Returns the number of the oldest plan by which this process and some others assign streams,
     * or did before they ended. To be stated after all {@linkplain #takeNews news} have been told.
     *
     * @param peers the others
     * @param speaksForOthers whether the receivers rely on this process to allow for others that
     *     have ended or are silent
     * @param nowMillis the current time, in milliseconds
     * @return the number; 0 if one of them does not use plans; {@link #NO_STATEMENT} until this
     *     process has read which plans there are, as it tells all its streams until then
     */
    public long usedNumber(Collection<String> peers, boolean speaksForOthers, long nowMillis) {
        long own = plans.current().number();
        if (own == 0 && earlier != Earlier.NOT_RECORDED) {
            return NO_STATEMENT;
        }
        if (begun.isAnyForgotten(nowMillis)) {
            return 0;
        }
        return speaksForOthers ? use.oldest(own, peers) : own;
    }

    /**
     * Records the oldest plan that a peer, or those for which it speaks, use.
     *
     * @param peer the peer's name
     * @param number the number of the plan
     * @param nowMillis the current time, in milliseconds
     */
    public void planUsed(String peer, long number, long nowMillis) {
        if (number == NO_STATEMENT) {
            return;
        }
        use.stated(peer, number, nowMillis);
    }

    /**
     * Records that the figures of a peer are not received any more.
     *
     * @param peer the peer's name
     * @param nowMillis the current time, in milliseconds
     */
    public void peerRemoved(String peer, long nowMillis) {
        if (use.removed(peer, nowMillis)) {
            lostMillis = Math.max(lostMillis, nowMillis);
        }
    }

    /**
     * Records the processes that the store lists, where all of them are linked.
     *
     * @param peers the names of all but this process
     * @param nowMillis the current time, in milliseconds
     */
    public void peersListed(Collection<String> peers, long nowMillis) {
        use.listed(peers, plans.current().number(), nowMillis);
        if (!use.isAnySilent()) {
            lostMillis = Math.min(lostMillis, nowMillis);
        }
    }

    private long oldestNumber() {
        return use.oldest(plans.current().number());
    }

    /**
     * Records that the list of upstreams was shown to be current.
     *
     * @param atMillis when, in milliseconds
     */
    public void listConfirmed(long atMillis) {
        freshness.confirmed(atMillis);
    }

    /**
     * Returns how long ago the list of upstreams was last shown to be current.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the age, in milliseconds
     */
    public long listAgeMillis(long nowMillis) {
        return freshness.ageMillis(nowMillis);
    }

    /**
     * Returns until when the list of upstreams is known to be the one that all processes use.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the time, in milliseconds; at the latest now
     */
    public long listCurrentUntilMillis(long nowMillis) {
        // a process that has no list yet does not serve by an old one
        return freshness.isEverConfirmed() ? freshness.currentUntilMillis(nowMillis) : nowMillis;
    }

    /**
     * Describes by what a stream is not resumed, for a log line.
     *
     * @param call the caller's request
     * @param nowMillis the current time, in milliseconds
     * @return the plans that may be in use and the versions that they assign
     */
    public String describe(StreamCall call, long nowMillis) {
        long oldest = oldestNumber();
        return "plans %d to %d in use%s; versions %s, listed %s; record read %d ms ago"
                .formatted(
                        oldest,
                        plans.current().number(),
                        plans.isComplete(oldest) ? "" : ", some not known",
                        plans.versions(call.service(), oldest),
                        listedVersions(call.service()),
                        readMillis == NEVER_MILLIS ? -1 : nowMillis - readMillis);
    }

    /**
     * Records that a peer sends nothing any more, though it has not announced that it stops. It may
     * still serve callers by the list of upstreams that it had.
     *
     * @param peer the peer's name
     * @param sinceMillis when it last sent something, in milliseconds
     */
    public void peerSilent(String peer, long sinceMillis) {
        use.silent(peer, plans.current().number(), sinceMillis);
        freshness.peerSilent(peer, sinceMillis);
    }

    /**
     * Records that a peer tells that another one is silent. It is over when no peer tells it any
     * more.
     *
     * @param peer the silent peer's name
     * @param sinceMillis when the silent peer last sent something, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void learnedSilence(String peer, long sinceMillis, long nowMillis) {
        freshness.learnedSilence(peer, sinceMillis, nowMillis);
    }

    /**
     * Records that a peer tells that its list of upstreams may be outdated.
     *
     * @param peer the peer's name
     * @param sinceMillis since when, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void peerOutdated(String peer, long sinceMillis, long nowMillis) {
        freshness.peerOutdated(peer, sinceMillis, nowMillis);
    }

    /**
     * Records that the process that forwards the list of upstreams to this one may lack changes.
     *
     * @param currentUntilMillis until when its list is known to be current, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void feederOutdated(long currentUntilMillis, long nowMillis) {
        freshness.feederOutdated(currentUntilMillis, nowMillis);
    }

    /**
     * Returns since when each peer has been silent that may still serve callers. Processes that
     * start must be told of them.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the times by peer, in milliseconds
     */
    public Map<String, Long> silences(long nowMillis) {
        return freshness.silences(nowMillis);
    }

    /**
     * Records that a peer has been linked. It may have just started.
     *
     * @param peer the peer's name
     * @param nowMillis the current time, in milliseconds
     */
    public void peerLinked(String peer, long nowMillis) {
        linkedMillis = nowMillis;
        // it may have restarted, so that its earlier streams are those of a process that has ended
        lostMillis = Math.max(lostMillis, nowMillis);
        use.linked(peer, plans.current().number(), nowMillis);
    }

    /**
     * Records that a digest of a peer has arrived.
     *
     * @param peer the peer's name
     * @param nowMillis the current time, in milliseconds
     */
    public void peerHeard(String peer, long nowMillis) {
        use.heard(peer, false);
        freshness.peerHeard(peer, nowMillis);
    }

    /**
     * Returns the version at which a new stream begins. During a roll-out, which decides that by
     * itself, any version may be chosen; other processes know it only if they are told.
     *
     * @param call the caller's request
     * @param nowMillis the current time, in milliseconds
     * @return the version, or {@link StreamOrigin#ANY}
     */
    public StreamOrigin assigned(StreamCall call, long nowMillis) {
        String service = call.service();
        if (planner.isChosenByRollout(service, nowMillis)) {
            return StreamOrigin.ANY;
        }
        List<Upstream> serving = directory.serving(service);
        if (VersionWeights.slots(serving).size() <= 1) {
            return StreamOrigin.ANY;
        }
        Map<String, Integer> available =
                VersionWeights.slots(versions.admitted(service, serving, false, nowMillis));
        return plans.current()
                .assigned(service, call.attempt(), available.keySet())
                .or(() -> VersionWeights.assigned(call.attempt(), available))
                .map(StreamOrigin::assigned)
                .orElse(StreamOrigin.ANY);
    }

    /**
     * Returns whether the next plan must be awaited before a new stream begins: the current one
     * assigns it to a version that has no upstream any more.
     *
     * @param call the caller's request
     * @param nowMillis the current time, in milliseconds
     * @return false if the stream can begin where it is assigned, or by no plan
     */
    public boolean awaitsPlan(StreamCall call, long nowMillis) {
        String service = call.service();
        List<Upstream> serving = directory.serving(service);
        if (serving.isEmpty() || planner.isChosenByRollout(service, nowMillis)) {
            return false;
        }
        Set<String> available =
                VersionWeights.slots(versions.admitted(service, serving, false, nowMillis))
                        .keySet();
        return plans.current()
                .assigned(service, call.attempt())
                .filter(version -> !available.contains(version))
                .isPresent();
    }

    /**
     * Records that this process sends a stream to an upstream. Its version is final with the first
     * event.
     *
     * @param call the request of the caller that begins or resumes it
     * @param version the version of the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public void sent(StreamCall call, String version, long nowMillis) {
        if (call.attempt().isEmpty()) {
            return;
        }
        begun.sent(call, version, nowMillis);
        if (!isKnownFromPlans(call, version)) {
            begun.tell(hash(call), BegunStreams.NOT_FINAL, nowMillis);
        }
    }

    /**
     * Records that a stream of this process has brought an event, so that its version is final.
     *
     * @param call the request of the caller that begins or resumes it
     * @param version the version of the upstream
     * @param nowMillis the current time, in milliseconds
     * @return whether it is the first event here
     */
    public boolean began(StreamCall call, String version, long nowMillis) {
        return !call.attempt().isEmpty() && begun.began(call, version, nowMillis);
    }

    /** Returns whether a process that is not told of a stream knows its version. */
    private boolean isKnownFromPlans(StreamCall call, String version) {
        return plans.current().number() == 0
                ? earlier == Earlier.NOT_RECORDED && !hasSeveralVersions(call.service())
                : plans.assigned(call, oldestNumber(), plans.current().number())
                        .equals(Optional.of(version));
    }

    /**
     * Returns whether streams of a service may have begun at several versions, so that another
     * process must know where one began before it may be resumed.
     *
     * @param service the service
     * @return false if all of them began at the same version
     */
    public boolean hasSeveralVersions(String service) {
        Set<String> known = listedVersions(service);
        known.addAll(plans.versions(service, oldestNumber()));
        return known.size() > 1;
    }

    /** Returns the versions of all listed upstreams, those included that are leaving. */
    private Set<String> listedVersions(String service) {
        Set<String> listed = new HashSet<>();
        directory.serving(service).forEach(upstream -> listed.add(upstream.version()));
        directory.leaving(service).forEach(upstream -> listed.add(upstream.version()));
        return listed;
    }

    /**
     * Returns the streams that this process began lately, as processes of the build before tell
     * each other: identified by their attempt alone.
     *
     * @param sinceMillis since when, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the streams, the latest last
     */
    public List<StreamRecord> begunSince(long sinceMillis, long nowMillis) {
        return begun.begunSince(sinceMillis, nowMillis);
    }

    /**
     * Returns the streams of which all others must be told at once, each one once.
     *
     * @return streams of this process whose version does not follow from the plans
     */
    public List<StreamRecord> takeNews() {
        return begun.takeNews();
    }

    /**
     * Returns the streams of which the others were told, for a process that has been linked.
     *
     * @param nowMillis the current time, in milliseconds
     * @return streams whose version does not follow from the plans
     */
    public List<StreamRecord> told(long nowMillis) {
        return begun.told(nowMillis);
    }

    /**
     * Records a stream whose version does not follow from the plans.
     *
     * @param stream the stream
     * @param nowMillis the current time, in milliseconds
     * @return whether this process was not told of it before
     */
    public boolean learned(StreamRecord stream, long nowMillis) {
        return begun.learned(stream, nowMillis);
    }

    /**
     * Records where a stream began according to a process that keeps it for this purpose alone.
     *
     * @param attempt the hash of the id of the attempt that began it
     * @param version the version of the upstream
     */
    public void learned(long attempt, String version) {
        begun.learned(attempt, version);
    }

    /**
     * Returns the streams that this process began, or resumed, lately.
     *
     * @return the version of each by the hash of the id of the attempt that began it
     */
    public Map<Long, String> own() {
        return begun.own();
    }

    /**
     * Returns the hash by which processes tell each other of a stream.
     *
     * @param call the request of the caller
     * @return a hash that is the same in every process
     */
    public static long hash(StreamCall call) {
        return VersionWeights.hash(call.service() + '\n' + call.attempt());
    }

    /**
     * Returns at which version a stream began, if this process began it or was told.
     *
     * @param attempt the hash of the id of the attempt that began it
     * @return the version
     */
    public Optional<String> recorded(long attempt) {
        return begun.version(attempt);
    }

    /**
     * Returns where a stream began, if this process began it or was told.
     *
     * @param call the caller's request, with the id of the attempt that brought the first event
     * @return the origin
     */
    public Optional<StreamOrigin> recorded(StreamCall call) {
        return call.attempt().isEmpty()
                ? Optional.empty()
                : begun.version(hash(call))
                        .or(() -> begun.version(VersionWeights.hash(call.attempt())))
                        .map(StreamOrigin::recorded);
    }

    /**
     * Returns where a stream began of which no process that could be asked knows.
     *
     * @param call the caller's request, with the id of the attempt that brought the first event
     * @param inquiry which processes were asked
     * @param nowMillis the current time, in milliseconds
     * @return the version, if it is known
     */
    public StreamOrigin computed(StreamCall call, StreamInquiry inquiry, long nowMillis) {
        Optional<StreamOrigin> recorded = recorded(call);
        if (recorded.isPresent()) {
            return recorded.get();
        }
        if (!isEarlierKnown(nowMillis)) {
            return StreamOrigin.UNKNOWN;
        }
        if (lacksPlan()) {
            return StreamOrigin.OUTDATED;
        }
        boolean asked = inquiry.answered() || inquiry.recordRead();
        if (asked && isOnlyVersion(call.service(), nowMillis)) {
            return StreamOrigin.ANY;
        }
        boolean everywhere = inquiry.answered() && inquiry.everywhere();
        if (!inquiry.recordRead() && !(everywhere && isRecordCurrent())) {
            return StreamOrigin.OUTDATED;
        }
        boolean isNotFinal = begun.isNotFinal(hash(call));
        if (call.attempt().isEmpty() || isNotFinal || isUnsettled(nowMillis)) {
            return StreamOrigin.UNKNOWN;
        }
        // a stream that nobody knows who was asked began at a process that has ended
        boolean ended = everywhere && isRecordCurrent() && !use.isAnySilent();
        long oldest = oldestNumber();
        long newest = plans.current().number();
        return plans.assigned(call, oldest, ended ? Math.max(oldest, endedNumber) : newest)
                .filter(version -> !gapsOf(call.service()).wasGone(version))
                .map(StreamOrigin::computed)
                .orElse(StreamOrigin.UNKNOWN);
    }

    private boolean isUnsettled(long nowMillis) {
        return earlier == Earlier.NOT_RECORDED
                && plans.current().number() == 0
                && nowMillis - startedMillis < SETTLE_MILLIS;
    }

    /** Returns whether no process can have ended since the record was read. */
    private boolean isRecordCurrent() {
        return readMillis >= lostMillis;
    }

    private boolean isOnlyVersion(String service, long nowMillis) {
        return !hasSeveralVersions(service)
                && !gapsOf(service).hasAny()
                && freshness.isEverConfirmed()
                && freshness.currentUntilMillis(nowMillis) >= nowMillis;
    }

    private VersionGaps gapsOf(String service) {
        return gaps.computeIfAbsent(service, name -> new VersionGaps());
    }

    /**
     * Records the upstreams of all services. To be called several times a second, after digests
     * have been sent.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void tick(long nowMillis) {
        if (nowMillis - tickedMillis > FROZEN_MILLIS) {
            lostMillis = Math.max(lostMillis, nowMillis);
        }
        tickedMillis = nowMillis;
        freshness.tick(nowMillis);
        begun.tick(nowMillis);
        use.prune(nowMillis);
        plans.prune(oldestNumber());
        gaps.keySet().retainAll(directory.services());
        for (String service : directory.services()) {
            Set<String> serving = VersionWeights.slots(directory.serving(service)).keySet();
            gapsOf(service).record(serving, plans.current().versions(service), nowMillis);
        }
    }
}
