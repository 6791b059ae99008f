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

    private final UpstreamDirectory directory;
    private final VersionGate versions;
    private final VersionPlanner planner;
    private final BegunStreams begun = new BegunStreams();
    private final PlanUse use = new PlanUse();
    private final SharedPlans plans;
    private final RecordedVersions record;
    private final ListFreshness list;
    private final Map<String, VersionGaps> gaps = new HashMap<>();
    private final long startedMillis;

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
        planner = new VersionPlanner(directory, versions);
        plans = new SharedPlans(versions, planner, begun, use);
        record = new RecordedVersions(versions, plans, begun, use, startedMillis);
        list = new ListFreshness(own, startedMillis);
        this.startedMillis = startedMillis;
    }

    /**
     * Returns the plans by which processes assign streams.
     *
     * @return the plans
     */
    public SharedPlans plans() {
        return plans;
    }

    /**
     * Returns what is recorded in the store of the versions of streams.
     *
     * @return the record
     */
    public RecordedVersions record() {
        return record;
    }

    /**
     * Returns until when the list of upstreams is current.
     *
     * @return what is known of it
     */
    public ListFreshness list() {
        return list;
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
        if (own == 0 && !record.wasAbsent()) {
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
            record.processLost(nowMillis);
        }
    }

    /**
     * Records the processes that the store lists, where all of them are linked.
     *
     * @param peers the names of all but this process
     * @param nowMillis the current time, in milliseconds
     */
    public void peersListed(Collection<String> peers, long nowMillis) {
        boolean isAnyLost = use.listed(peers, plans.current().number(), nowMillis);
        if (isAnyLost) {
            record.processLost(nowMillis);
        } else if (!use.isAnySilent()) {
            record.noneLost(nowMillis);
        }
    }

    /**
     * Describes by what a stream is not resumed, for a log line.
     *
     * @param call the caller's request
     * @param nowMillis the current time, in milliseconds
     * @return the plans that may be in use and the versions that they assign
     */
    public String describe(StreamCall call, long nowMillis) {
        return "%s, listed %s; record read %d ms ago"
                .formatted(
                        plans.describe(call.service()),
                        listedVersions(call.service()),
                        record.ageMillis(nowMillis));
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
        list.peerSilent(peer, sinceMillis);
    }

    /**
     * Records that a peer has been linked. It may have just started.
     *
     * @param peer the peer's name
     * @param nowMillis the current time, in milliseconds
     */
    public void peerLinked(String peer, long nowMillis) {
        plans.linked(nowMillis);
        // it may have restarted, so that its earlier streams are those of a process that has ended
        record.processLost(nowMillis);
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
        list.peerHeard(peer, nowMillis);
    }

    /**
     * Returns the version at which a new stream begins. During a roll-out, which decides that by
     * itself, any version may be chosen; other processes know it only if they are told.
     *
     * @param call the caller's request
     * @param nowMillis the current time, in milliseconds
     * @return the version, {@link StreamOrigin#ANY}, or {@link StreamOrigin#ISOLATED}
     */
    public StreamOrigin assigned(StreamCall call, long nowMillis) {
        // others may know versions that this process does not, also where it knows only one
        if (list.isIsolated(nowMillis)) {
            return StreamOrigin.ISOLATED;
        }
        String service = call.service();
        if (planner.isChosenByRollout(service, nowMillis)) {
            return StreamOrigin.ANY;
        }
        if (VersionWeights.slots(directory.serving(service)).size() <= 1) {
            return StreamOrigin.ANY;
        }
        Map<String, Integer> available = available(service, nowMillis);
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
        if (list.isIsolated(nowMillis)
                || directory.serving(service).isEmpty()
                || planner.isChosenByRollout(service, nowMillis)) {
            return false;
        }
        Set<String> available = available(service, nowMillis).keySet();
        return plans.current()
                .assigned(service, call.attempt())
                .filter(version -> !available.contains(version))
                .isPresent();
    }

    /** Returns the slots of the versions of a service at which new streams may begin. */
    private Map<String, Integer> available(String service, long nowMillis) {
        List<Upstream> serving = directory.serving(service);
        return VersionWeights.slots(versions.admitted(service, serving, false, nowMillis));
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
                ? record.wasAbsent() && !hasSeveralVersions(call.service())
                : plans.assigned(call, plans.current().number()).equals(Optional.of(version));
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
        known.addAll(plans.versions(service));
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
        if (!record.isEarlierKnown(nowMillis)) {
            return StreamOrigin.UNKNOWN;
        }
        if (plans.isOutdated()) {
            return StreamOrigin.OUTDATED;
        }
        boolean asked = inquiry.answered() || inquiry.recordRead();
        if (asked && isOnlyVersion(call.service(), nowMillis)) {
            return StreamOrigin.ANY;
        }
        boolean everywhere = inquiry.answered() && inquiry.everywhere();
        if (!inquiry.recordRead() && !(everywhere && record.isCurrent())) {
            return StreamOrigin.OUTDATED;
        }
        boolean isNotFinal = begun.isNotFinal(hash(call));
        if (call.attempt().isEmpty() || isNotFinal || isUnsettled(nowMillis)) {
            return StreamOrigin.UNKNOWN;
        }
        // a stream that nobody knows who was asked began at a process that has ended
        boolean ended = everywhere && record.isCurrent() && !use.isAnySilent();
        return plans.assigned(call, ended ? record.endedNumber() : plans.current().number())
                .filter(version -> !gapsOf(call.service()).wasGone(version))
                .map(StreamOrigin::computed)
                .orElse(StreamOrigin.UNKNOWN);
    }

    private boolean isUnsettled(long nowMillis) {
        return record.wasAbsent()
                && plans.current().number() == 0
                && nowMillis - startedMillis < SETTLE_MILLIS;
    }

    private boolean isOnlyVersion(String service, long nowMillis) {
        return !hasSeveralVersions(service)
                && !gapsOf(service).hasAny()
                && list.isEverConfirmed()
                && list.currentUntilMillis(nowMillis) >= nowMillis;
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
        if (list.tick(nowMillis)) {
            record.processLost(nowMillis);
        }
        begun.tick(nowMillis);
        use.prune(nowMillis);
        plans.prune();
        gaps.keySet().retainAll(directory.services());
        for (String service : directory.services()) {
            Set<String> serving = VersionWeights.slots(directory.serving(service)).keySet();
            gapsOf(service).record(serving, plans.current().versions(service), nowMillis);
        }
    }
}
